// SPDX-License-Identifier: Apache-2.0
#include <base/randomfraction.h>
#include <routing/layerpath.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace sailtiller {

namespace {

/// Weight of a hop between data halls. The pipe is shared, so a crossing also delays other requests.
constexpr double crossing_weight = 100;
/// Weight of a path whose head is in another data hall than the host. Each event moves through the pipe, but
/// no prompt is sent from engine to engine, hence a fifth of the weight of a crossing. It keeps the hosts of
/// one hall from all using the cheapest path of another; with a weight of one, 36 in 100 requests of a
/// deployment of three halls entered in their own.
constexpr double entry_weight = 20;
/// Weight of the squared utilization of a pipe in the cost of a crossing: at a utilization of one half, the
/// cost is eleven times that of an idle pipe.
constexpr double pipe_utilization_weight = 40;
/// Cost of each layer of an upstream without free capacity, in milliseconds. The cost grows with the square
/// of the utilization. Avoiding preemption matters more than the duration of a stream, so this outweighs
/// speed.
constexpr double full_capacity_ms = 80;
/// Beyond this capacity utilization an upstream preempts requests, so it is used only if no other one holds
/// the layer.
constexpr double preemption_utilization = 0.85;
constexpr double preemption_cost_ms = 20'000;
/// Exponent of the share of used request slots in the cost of a slot: at three quarters, the cost is a tenth
/// of that of an upstream without free capacity.
constexpr double slot_cost_exponent = 8;
/// Engines reject longer paths.
constexpr std::size_t max_path_stages = 32;
constexpr double milliseconds_per_second = 1000;

/// An upstream that can run some layers, with its predicted costs in milliseconds.
struct candidate
{
    const discovered_upstream* upstream = nullptr;
    std::size_t hall = 0; ///< index in `path_search::halls`
    layer_span runs; ///< layers that it can run
    layer_span kept; ///< of these, the layers that it already runs for a request to be rerouted
    double layer_ms = 0; ///< of one layer for the whole request
    double reused_layer_ms = 0; ///< of one layer in `kept`, whose prompt cache is reused
    double entry_ms = 0; ///< of a request slot, paid by the head
};

/// Returns a random factor for the cost of one upstream. Hosts exchange load reports only every second or
/// two. With stale loads, random choices are better than the cheapest path, which all hosts would use until
/// the next reports (M. Mitzenmacher, How Useful Is Old Information?, IEEE TPDS 11, 2000). Of two upstreams,
/// one that costs half as much is chosen four times in five. With 59 hosts and no random factor, all used one
/// path for a second or more; the factor raised the share of requests with their first event in time, on a
/// day without faults, from 88.9 to 99.9 in 100.
double draw_cost_factor(const random_function& random)
{
    if (!random) {
        return 1;
    }
    constexpr double half_step = 0x1p-54; // keeps the logarithm finite
    const double share = draw_fraction(random) + half_step;
    // With this distribution, the probability to be the cheapest is inverse to the square of the cost.
    return std::sqrt(-std::log(share));
}

/// Usage of an upstream by the requests of all hosts, with its slowdown.
struct engine_usage
{
    double token_layers = 0;
    double requests = 0;
    double pace = 1;
};

engine_usage usage_of(const engine_loads& loads, const upstream_id& id)
{
    const engine_load& load = loads.of(id);
    return {loads.total_token_layers(load), loads.total_requests(load), load.pace};
}

/// Predicts the prefill time of the prompt in one layer.
double predict_prompt_ms(
    const engine_profile& profile, const card_kind& card, const engine_usage& usage, const path_query& query)
{
    if (profile.prompt_tokens_per_s <= 0) {
        return 0;
    }
    const double whole_ms =
        query.prompt_tokens * milliseconds_per_second / profile.prompt_tokens_per_s * card.prompt_factor;
    return whole_ms * usage.pace / profile.layers;
}

/// Predicts the time of one decode step in one layer.
double predict_step_ms(const engine_profile& profile, const card_kind& card, const engine_usage& usage)
{
    const double step_ms = profile.step_ms * card.step_factor + usage.requests * profile.step_ms_per_request;
    return step_ms * usage.pace / profile.layers;
}

/// Predicts the time of all decode steps of the answer in one layer.
double predict_steps_ms(
    const engine_profile& profile, const card_kind& card, const engine_usage& usage, const path_query& query)
{
    return query.answer_tokens * predict_step_ms(profile, card, usage);
}

/// Returns the capacity utilization of an upstream with `wanted` more tokens times layers; 1 if it has no
/// capacity.
double utilization_with(const engine_profile& profile, const card_kind& card,
    const discovered_upstream& upstream, const engine_usage& usage, double wanted)
{
    const double capacity = token_layer_capacity(profile, card, upstream.held.count());
    return capacity <= 0 ? 1 : (usage.token_layers + wanted) / capacity;
}

double capacity_cost(const engine_profile& profile, const card_kind& card,
    const discovered_upstream& upstream, const engine_usage& usage, const path_query& query)
{
    const double wanted = (query.prompt_tokens + query.answer_tokens) * upstream.held.count();
    const double share = utilization_with(profile, card, upstream, usage, wanted);
    // A request that is being rerouted is short of time, and its tokens are part of the present load, so it
    // uses a full upstream rather than the pipe to another data hall.
    const bool avoids_full = query.current_path.empty() && share > preemption_utilization;
    return full_capacity_ms * share * share + (avoids_full ? preemption_cost_ms * share : 0);
}

/// Returns the cost of a request slot at the head, which holds it for the whole request. By capacity alone,
/// upstreams with much memory were used until their 192 slots were taken, at 26 in 100 of all sends. With
/// that many slots a queue forms only when nearly all are taken, and slow upstreams hold theirs for longer,
/// so the cost stays low until then. With the square of the share, requests were driven to slow paths: on
/// five days of high load with 6 hosts, the credit earned was 0.04 lower than without this cost.
double slot_cost(const engine_profile& profile, const engine_usage& usage)
{
    if (profile.request_slots == 0) {
        return 0;
    }
    const double share = (usage.requests + 1) / profile.request_slots;
    return profile.layers * full_capacity_ms * std::pow(share, slot_cost_exponent);
}

class path_search
{
public:
    path_search(const engine_profile& profile, const upstream_directory& directory, const engine_loads& loads,
        const path_query& query)
        : profile(profile)
        , query(query)
    {
        for (const auto& [id, entry] : directory.entries()) {
            this->add_candidate(entry.upstream, loads.of(id), usage_of(loads, id));
        }
        this->compute_hop_costs();
    }

    std::optional<layer_path> run()
    {
        std::vector<std::vector<step>> table(this->profile.layers);
        for (unsigned layer = 0; layer < this->profile.layers; ++layer) {
            this->fill_layer(table, layer);
            if (table[layer].empty()) {
                return std::nullopt;
            }
        }
        return this->trace(table);
    }

private:
    /// End of the cheapest path over all layers up to this one, with this candidate running the last.
    struct step
    {
        std::size_t candidate = 0;
        double cost = 0;
        std::size_t previous = 0; ///< index in the row of the previous layer
    };

    void add_candidate(
        const discovered_upstream& upstream, const engine_load& load, const engine_usage& usage)
    {
        if (upstream.service != this->query.service) {
            return;
        }
        const card_kind* card = this->profile.find_card(upstream.card, upstream.held.end);
        if (card == nullptr) {
            return;
        }
        candidate item;
        item.upstream = &upstream;
        item.kept = this->find_reusable_span(upstream, load);
        const bool accepts_requests = !upstream.is_leaving && load.accepts_requests(this->query.now)
            && this->query.avoided.count(upstream.id) == 0;
        item.runs = accepts_requests && upstream.held.contains(item.kept) ? upstream.held : item.kept;
        if (item.runs.is_empty()) {
            return;
        }
        item.reused_layer_ms = predict_steps_ms(this->profile, *card, usage, this->query);
        const double predicted_ms = item.reused_layer_ms
            + predict_prompt_ms(this->profile, *card, usage, this->query)
            + capacity_cost(this->profile, *card, upstream, usage, this->query);
        const double draw = draw_cost_factor(this->query.random);
        item.layer_ms = predicted_ms * draw;
        item.entry_ms = draw * slot_cost(this->profile, usage);
        item.hall = this->find_hall(upstream.data_hall);
        this->candidates.push_back(item);
    }

    /// Returns the index of a data hall, adding it if it is new.
    std::size_t find_hall(const data_hall_id& hall)
    {
        const auto found = std::find(this->halls.begin(), this->halls.end(), hall);
        if (found == this->halls.end()) {
            this->halls.push_back(hall);
            return this->halls.size() - 1;
        }
        return static_cast<std::size_t>(found - this->halls.begin());
    }

    /// Computes the costs between each two data halls once, as the search reads them for every layer and pair
    /// of holders.
    void compute_hop_costs()
    {
        for (const data_hall_id& from : this->halls) {
            std::vector<double>& row = this->hop_costs.emplace_back();
            for (const data_hall_id& to : this->halls) {
                row.push_back(this->hop_cost(from, to));
            }
        }
    }

    [[nodiscard]] bool is_head(const upstream_id& id) const
    {
        return !this->query.current_path.empty() && this->query.current_path.front().id == id;
    }

    /// Returns the layers that the upstream can continue to run for a request to be rerouted.
    [[nodiscard]] layer_span find_reusable_span(
        const discovered_upstream& upstream, const engine_load& load) const
    {
        for (const path_stage& stage : this->query.current_path) {
            if (stage.id != upstream.id) {
                continue;
            }
            const bool is_usable = !load.has_failed(this->query.now)
                && this->query.avoided.count(upstream.id) == 0 && upstream.held.contains(stage.span);
            return is_usable || this->is_head(stage.id) ? stage.span : layer_span();
        }
        return {};
    }

    [[nodiscard]] double hop_cost(const data_hall_id& from, const data_hall_id& to) const
    {
        const double tokens = this->query.answer_tokens;
        if (from == to) {
            return tokens * engine_hop_ms;
        }
        const double bits = this->profile.crossing_bits(this->query.prompt_tokens);
        const double transfer_ms = this->profile.hall_pipe_mbps <= 0
            ? 0
            : bits / (this->profile.hall_pipe_mbps * milliseconds_per_second);
        const double share = this->query.pipe_utilization ? this->query.pipe_utilization(from, to) : 0;
        return crossing_weight * (transfer_ms + tokens * engine_hop_ms)
            * (1 + pipe_utilization_weight * share * share);
    }

    [[nodiscard]] bool may_run(const candidate& item, unsigned layer) const
    {
        if (this->query.current_path.empty()) {
            const bool leads = layer == 0 && this->query.may_be_head;
            return item.runs.holds(layer) && (!leads || this->query.may_be_head(item.upstream->id));
        }
        // The head keeps its layers for the running request, including those unloaded since.
        const layer_span& first = this->query.current_path.front().span;
        return this->is_head(item.upstream->id) ? first.holds(layer)
                                                : item.runs.holds(layer) && !first.holds(layer);
    }

    void fill_layer(std::vector<std::vector<step>>& table, unsigned layer) const
    {
        for (std::size_t index = 0; index < this->candidates.size(); ++index) {
            const candidate& item = this->candidates[index];
            if (!this->may_run(item, layer)) {
                continue;
            }
            step best = layer == 0 ? step{index, this->entry_cost(item), 0}
                                   : this->find_cheapest_step(table[layer - 1], index);
            best.cost += item.kept.holds(layer) ? item.reused_layer_ms : item.layer_ms;
            table[layer].push_back(best);
        }
    }

    /// Returns the cheapest step to this candidate from the row of the previous layer, without the cost of
    /// the layer itself.
    [[nodiscard]] step find_cheapest_step(const std::vector<step>& before, std::size_t index) const
    {
        const std::size_t hall = this->candidates[index].hall;
        step best{index, std::numeric_limits<double>::infinity(), 0};
        for (std::size_t at = 0; at < before.size(); ++at) {
            const step& previous = before[at];
            const candidate& from = this->candidates[previous.candidate];
            const double hop = previous.candidate == index ? 0 : this->hop_costs[from.hall][hall];
            if (previous.cost + hop < best.cost) {
                best.cost = previous.cost + hop;
                best.previous = at;
            }
        }
        return best;
    }

    [[nodiscard]] double entry_cost(const candidate& item) const
    {
        if (this->is_head(item.upstream->id)) {
            return 0; // the running request keeps its slot
        }
        const bool is_here = item.upstream->data_hall == this->query.origin;
        return item.entry_ms + (is_here ? 0 : entry_weight * this->query.answer_tokens * engine_hop_ms);
    }

    [[nodiscard]] layer_path trace(const std::vector<std::vector<step>>& table) const
    {
        const std::vector<step>& last = table.back();
        const auto best = std::min_element(last.begin(), last.end(),
            [](const step& left, const step& right) { return left.cost < right.cost; });
        std::vector<std::size_t> holders(table.size());
        std::size_t at = static_cast<std::size_t>(best - last.begin());
        for (std::size_t layer = table.size(); layer-- > 0;) {
            holders[layer] = table[layer][at].candidate;
            at = table[layer][at].previous;
        }
        return this->join(holders);
    }

    /// Merges the layers of each holder into stages. As an upstream may occur in a path only once, a holder
    /// that occurs twice also runs the layers between, which it holds.
    [[nodiscard]] layer_path join(const std::vector<std::size_t>& holders) const
    {
        layer_path path;
        unsigned layer = 0;
        while (layer < holders.size()) {
            unsigned last = layer;
            for (unsigned later = layer; later < holders.size(); ++later) {
                last = holders[later] == holders[layer] ? later : last;
            }
            const discovered_upstream& upstream = *this->candidates[holders[layer]].upstream;
            path.push_back({upstream.id, upstream.address, {layer, last + 1}});
            layer = last + 1;
        }
        return path;
    }

    const engine_profile& profile;
    const path_query& query;
    std::vector<candidate> candidates;
    std::vector<data_hall_id> halls; ///< data halls of the candidates
    std::vector<std::vector<double>> hop_costs; ///< in milliseconds, by the indices of the data halls
};

} // namespace

double token_layer_capacity(const engine_profile& profile, const card_kind& card, unsigned layers)
{
    const double free_mb = card.memory_mb - layers * profile.layer_mb;
    return profile.token_layer_mb() <= 0 ? 0 : std::max(0.0, free_mb / profile.token_layer_mb());
}

duration predict_prompt_time(const engine_profile& profile, const upstream_directory& directory,
    const layer_path& path, double prompt_tokens)
{
    if (profile.prompt_tokens_per_s <= 0 || profile.layers == 0) {
        return duration::zero();
    }
    double layers = 0; // weighted by the prompt factor of each card
    for (const path_stage& stage : path) {
        const directory_entry* entry = directory.find(stage.id);
        const card_kind* card = entry == nullptr ? nullptr : profile.find_card(entry->upstream.card);
        layers += stage.span.count() * (card == nullptr ? 1 : card->prompt_factor);
    }
    const double seconds = prompt_tokens / profile.prompt_tokens_per_s * layers / profile.layers;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

duration predict_token_time(const engine_profile& profile, const upstream_directory& directory,
    const engine_loads& loads, const layer_path& path)
{
    double sum_ms = 0;
    for (const path_stage& stage : path) {
        const directory_entry* entry = directory.find(stage.id);
        const card_kind* card = entry == nullptr ? nullptr : profile.find_card(entry->upstream.card);
        if (card != nullptr) {
            sum_ms += stage.span.count() * predict_step_ms(profile, *card, usage_of(loads, stage.id));
        }
        sum_ms += engine_hop_ms;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(sum_ms));
}

void visit_crossings(const upstream_directory& directory, const layer_path& path,
    const std::function<void(const data_hall_id& from, const data_hall_id& to)>& visit)
{
    const data_hall_id* last = nullptr;
    for (const path_stage& stage : path) {
        const directory_entry* entry = directory.find(stage.id);
        if (entry == nullptr) {
            continue;
        }
        const data_hall_id& hall = entry->upstream.data_hall;
        if (last != nullptr && *last != hall) {
            visit(*last, hall);
        }
        last = &hall;
    }
}

unsigned count_crossings(const upstream_directory& directory, const layer_path& path)
{
    unsigned count = 0;
    visit_crossings(directory, path, [&count](const data_hall_id&, const data_hall_id&) { ++count; });
    return count;
}

double predict_peak_utilization(const engine_profile& profile, const upstream_directory& directory,
    const engine_loads& loads, const layer_path& path, double tokens)
{
    double fullest = 0;
    for (const path_stage& stage : path) {
        const directory_entry* entry = directory.find(stage.id);
        const card_kind* card = entry == nullptr ? nullptr : profile.find_card(entry->upstream.card);
        if (card != nullptr) {
            fullest = std::max(fullest,
                utilization_with(
                    profile, *card, entry->upstream, usage_of(loads, stage.id), tokens * stage.span.count()));
        }
    }
    return fullest;
}

double token_utilization_of(
    const engine_profile& profile, const engine_loads& loads, const discovered_upstream& upstream)
{
    const card_kind* card = profile.find_card(upstream.card);
    return card == nullptr ? 1 : utilization_with(profile, *card, upstream, usage_of(loads, upstream.id), 0);
}

std::optional<layer_path> find_layer_path(const engine_profile& profile, const upstream_directory& directory,
    const engine_loads& loads, const path_query& query)
{
    if (profile.layers == 0) {
        return std::nullopt;
    }
    std::optional<layer_path> path = path_search(profile, directory, loads, query).run();
    return path && path->size() <= max_path_stages ? path : std::nullopt;
}

} // namespace sailtiller
