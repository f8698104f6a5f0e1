// SPDX-License-Identifier: Apache-2.0
#include <routing/layerpath.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace sailtiller {

namespace {

/// The pipe between halls is shared by all, so that a crossing costs others as well; from trials.
constexpr double crossing_weight = 100;
/// A request that enters in another hall than its host's moves each event through the pipe, but no prompt
/// from engine to engine: a fifth of a crossing's weight. It keeps the hosts of one hall from all taking the
/// cheapest path of another; with a weight of one, 36 in 100 requests of a deployment of three halls entered
/// in their own.
constexpr double entry_weight = 20;
/// How strongly the square of a pipe's use raises the price of a crossing: half used, it is eleven times
/// dearer.
constexpr double pipe_utilization_weight = 40;
/// Cost in milliseconds for each layer of an upstream whose room is used up; it grows with the square of the
/// share in use. A stream's length matters less than that nothing is preempted, so this goes before speed.
constexpr double full_capacity_ms = 80;
/// Beyond this share of the room, an upstream would preempt requests, so it is taken only where nothing else
/// holds the layer.
constexpr double preemption_utilization = 0.85;
constexpr double preemption_cost_ms = 20'000;
/// How steeply the price of a slot grows with the share that is taken: a tenth of that of used-up room at
/// three quarters.
constexpr double slot_cost_exponent = 8;
/// Engines refuse longer paths.
constexpr std::size_t max_path_stages = 32;
constexpr double milliseconds_per_second = 1000;

/// An upstream that may run some layers, with its predicted cost.
struct candidate
{
    const discovered_upstream* upstream = nullptr;
    std::size_t hall = 0; ///< its number in the search
    layer_span runs; ///< layers that it may run
    layer_span kept; ///< of these, what it runs already for the request that is led elsewhere
    double layer_ms = 0; ///< one layer for the whole request
    double reused_layer_ms = 0; ///< one layer that it runs already
    double entry_ms = 0; ///< to begin there
};

/// A factor for the cost of one upstream. Hosts hear of each other's work only every second or two, and of
/// stale figures the cheapest path is worse than a drawn one, as all hosts take it until they hear of it (M.
/// Mitzenmacher, How Useful Is Old Information?, IEEE TPDS 11, 2000). Of two upstreams, one that costs half
/// as much is drawn four times in five. With 59 hosts, all took one path for a second or more; drawn,
/// requests that had their first event in time on a day without faults rose from 88.9 to 99.9 in 100.
double draw_cost_factor(const random_function& random)
{
    if (!random) {
        return 1;
    }
    constexpr unsigned fraction_bits = 53;
    const double share = (static_cast<double>(random() >> (64U - fraction_bits)) + 0.5)
        / static_cast<double>(std::uint64_t{1} << fraction_bits);
    // The least of such draws is the more likely the less the square of its cost.
    return std::sqrt(-std::log(share));
}

/// What all hosts' requests take of an upstream.
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

/// Time to read the prompt through one layer.
double predict_prompt_ms(
    const engine_profile& profile, const card_kind& card, const engine_usage& use, const path_query& question)
{
    if (profile.prompt_tokens_per_s <= 0) {
        return 0;
    }
    const double whole_ms =
        question.prompt_tokens * milliseconds_per_second / profile.prompt_tokens_per_s * card.prompt_factor;
    return whole_ms * use.pace / profile.layers;
}

/// Time of one token's step in one layer.
double predict_step_ms(const engine_profile& profile, const card_kind& card, const engine_usage& use)
{
    const double step_ms = profile.step_ms * card.step_factor + use.requests * profile.step_ms_per_request;
    return step_ms * use.pace / profile.layers;
}

/// Time of the answer's steps in one layer.
double predict_steps_ms(
    const engine_profile& profile, const card_kind& card, const engine_usage& use, const path_query& question)
{
    return question.answer_tokens * predict_step_ms(profile, card, use);
}

/// The share of an upstream's room that is used once it holds `wanted` more.
double utilization_with(const engine_profile& profile, const card_kind& card,
    const discovered_upstream& upstream, const engine_usage& use, double wanted)
{
    const double room = token_layer_capacity(profile, card, upstream.held.count());
    return room <= 0 ? 1 : (use.token_layers + wanted) / room;
}

double capacity_cost(const engine_profile& profile, const card_kind& card,
    const discovered_upstream& upstream, const engine_usage& use, const path_query& question)
{
    const double wanted = (question.prompt_tokens + question.answer_tokens) * upstream.held.count();
    const double share = utilization_with(profile, card, upstream, use, wanted);
    // A running request that is led elsewhere is short of time; its tokens were there before, so it rather
    // squeezes in than goes through the pipe to another hall.
    const bool avoids_full = question.current_path.empty() && share > preemption_utilization;
    return full_capacity_ms * share * share + (avoids_full ? preemption_cost_ms * share : 0);
}

/// Price of beginning at an upstream: the first of a path holds a slot for the whole of a request. By room
/// alone, upstreams with much memory were taken until their 192 slots were used up, at 26 in 100 of all
/// sends. A queue for that many forms only when nearly all are taken, and slow upstreams hold theirs for
/// longer, so the price stays low until then: with the square of the share, requests were driven to slow
/// paths (credit earned before 6 hosts on five days of high load 0.04 lower than without a price).
double slot_cost(const engine_profile& profile, const engine_usage& use)
{
    if (profile.request_slots == 0) {
        return 0;
    }
    const double share = (use.requests + 1) / profile.request_slots;
    return profile.layers * full_capacity_ms * std::pow(share, slot_cost_exponent);
}

class path_search
{
public:
    path_search(const engine_profile& profile, const upstream_directory& directory, const engine_loads& loads,
        const path_query& question)
        : profile(profile)
        , question(question)
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
    /// The cheapest way to have run all layers up to this one, with this candidate running the last.
    struct step
    {
        std::size_t candidate = 0;
        double cost = 0;
        std::size_t previous = 0; ///< index in the layer before
    };

    void add_candidate(const discovered_upstream& upstream, const engine_load& load, const engine_usage& use)
    {
        if (upstream.service != this->question.service) {
            return;
        }
        const card_kind* card = this->profile.find_card(upstream.card, upstream.held.end);
        if (card == nullptr) {
            return;
        }
        candidate item;
        item.upstream = &upstream;
        item.kept = this->find_reusable_span(upstream, load);
        const bool accepts_requests = !upstream.is_leaving && load.accepts_requests(this->question.now)
            && this->question.avoided.count(upstream.id) == 0;
        item.runs = accepts_requests && upstream.held.contains(item.kept) ? upstream.held : item.kept;
        if (item.runs.is_empty()) {
            return;
        }
        item.reused_layer_ms = predict_steps_ms(this->profile, *card, use, this->question);
        const double predicted_ms = item.reused_layer_ms
            + predict_prompt_ms(this->profile, *card, use, this->question)
            + capacity_cost(this->profile, *card, upstream, use, this->question);
        const double draw = draw_cost_factor(this->question.random);
        item.layer_ms = predicted_ms * draw;
        item.entry_ms = draw * slot_cost(this->profile, use);
        item.hall = this->find_hall(upstream.data_hall);
        this->candidates.push_back(item);
    }

    /// The number of a hall in this search.
    std::size_t find_hall(const data_hall_id& hall)
    {
        const auto found = std::find(this->halls.begin(), this->halls.end(), hall);
        if (found == this->halls.end()) {
            this->halls.push_back(hall);
            return this->halls.size() - 1;
        }
        return static_cast<std::size_t>(found - this->halls.begin());
    }

    /// Prices each way between two halls once; the search compares them for every layer and pair of holders.
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
        return !this->question.current_path.empty() && this->question.current_path.front().id == id;
    }

    /// What the upstream may go on to run for the request that is led elsewhere.
    [[nodiscard]] layer_span find_reusable_span(
        const discovered_upstream& upstream, const engine_load& load) const
    {
        for (const path_stage& part : this->question.current_path) {
            if (part.id != upstream.id) {
                continue;
            }
            const bool is_sound = !load.has_failed(this->question.now)
                && this->question.avoided.count(upstream.id) == 0 && upstream.held.contains(part.span);
            return is_sound || this->is_head(part.id) ? part.span : layer_span();
        }
        return {};
    }

    [[nodiscard]] double hop_cost(const data_hall_id& from, const data_hall_id& to) const
    {
        const double tokens = this->question.answer_tokens;
        if (from == to) {
            return tokens * engine_hop_ms;
        }
        const double bits = this->profile.crossing_bits(this->question.prompt_tokens);
        const double transfer_ms = this->profile.hall_pipe_mbps <= 0
            ? 0
            : bits / (this->profile.hall_pipe_mbps * milliseconds_per_second);
        const double share = this->question.pipe_utilization ? this->question.pipe_utilization(from, to) : 0;
        return crossing_weight * (transfer_ms + tokens * engine_hop_ms)
            * (1 + pipe_utilization_weight * share * share);
    }

    [[nodiscard]] bool may_run(const candidate& item, unsigned layer) const
    {
        if (this->question.current_path.empty()) {
            const bool leads = layer == 0 && this->question.may_be_head;
            return item.runs.holds(layer) && (!leads || this->question.may_be_head(item.upstream->id));
        }
        // The head keeps its layers for the running request, also those that it has given up since.
        const layer_span& first = this->question.current_path.front().span;
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

    /// The cheapest way to this candidate from the steps of the layer before, without the layer itself.
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
            return 0; // the running request stays there
        }
        const bool is_here = item.upstream->data_hall == this->question.origin;
        return item.entry_ms + (is_here ? 0 : entry_weight * this->question.answer_tokens * engine_hop_ms);
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

    /// Joins layers of one holder to parts. A holder that comes twice runs what lies between as well, which
    /// it holds, since an upstream may stand in a path only once.
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
    const path_query& question;
    std::vector<candidate> candidates;
    std::vector<data_hall_id> halls; ///< of the candidates
    std::vector<std::vector<double>> hop_costs; ///< in milliseconds, from hall to hall
};

} // namespace

double token_layer_capacity(const engine_profile& profile, const card_kind& card, unsigned layers)
{
    const double left_mb = card.memory_mb - layers * profile.layer_mb;
    return profile.token_layer_mb() <= 0 ? 0 : std::max(0.0, left_mb / profile.token_layer_mb());
}

duration predict_prompt_time(const engine_profile& profile, const upstream_directory& directory,
    const layer_path& path, double prompt_tokens)
{
    if (profile.prompt_tokens_per_s <= 0 || profile.layers == 0) {
        return duration::zero();
    }
    double layers = 0; // weighed by how slowly each card reads
    for (const path_stage& part : path) {
        const directory_entry* entry = directory.find(part.id);
        const card_kind* card = entry == nullptr ? nullptr : profile.find_card(entry->upstream.card);
        layers += part.span.count() * (card == nullptr ? 1 : card->prompt_factor);
    }
    const double seconds = prompt_tokens / profile.prompt_tokens_per_s * layers / profile.layers;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

duration predict_token_time(const engine_profile& profile, const upstream_directory& directory,
    const engine_loads& loads, const layer_path& path)
{
    double sum_ms = 0;
    for (const path_stage& part : path) {
        const directory_entry* entry = directory.find(part.id);
        const card_kind* card = entry == nullptr ? nullptr : profile.find_card(entry->upstream.card);
        if (card != nullptr) {
            sum_ms += part.span.count() * predict_step_ms(profile, *card, usage_of(loads, part.id));
        }
        sum_ms += engine_hop_ms;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(sum_ms));
}

void visit_crossings(const upstream_directory& directory, const layer_path& path,
    const std::function<void(const data_hall_id& from, const data_hall_id& to)>& visit)
{
    const data_hall_id* last = nullptr;
    for (const path_stage& part : path) {
        const directory_entry* entry = directory.find(part.id);
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
    for (const path_stage& part : path) {
        const directory_entry* entry = directory.find(part.id);
        const card_kind* card = entry == nullptr ? nullptr : profile.find_card(entry->upstream.card);
        if (card != nullptr) {
            fullest = std::max(fullest,
                utilization_with(
                    profile, *card, entry->upstream, usage_of(loads, part.id), tokens * part.span.count()));
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
    const engine_loads& loads, const path_query& question)
{
    if (profile.layers == 0) {
        return std::nullopt;
    }
    std::optional<layer_path> path = path_search(profile, directory, loads, question).run();
    return path && path->size() <= max_path_stages ? path : std::nullopt;
}

} // namespace sailtiller
