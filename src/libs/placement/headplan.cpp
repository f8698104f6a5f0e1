// SPDX-License-Identifier: Apache-2.0
#include <placement/headplan.h>
#include <placement/layercost.h>
#include <placement/layercoverage.h>

#include <cmath>
#include <map>
#include <numeric>
#include <set>
#include <tuple>

namespace sailtiller {

namespace {

/// Least relative gain in worth for which heads get layers of their own.
constexpr double min_gain = 0.05;
/// Engines that become heads in one run, as many as a balancing run moves.
constexpr std::size_t max_conversions = 4;
/// Least share of its request slots that a head fills with a span that is longer than its cache allows.
constexpr double least_slot_share = 0.5;
/// Fewest whole copies behind several heads: a single chain would stop all of them with one loss.
constexpr unsigned min_copies_behind = 2;
/// Copies tried beyond the fewest that keep to the wanted number of stages.
constexpr unsigned further_copies = 2;
/// Fewer heads than carry the room are tried too, as the layers behind cannot spare engines in small groups.
constexpr std::size_t fewer_heads_tried = 4;
/// Bisection steps of the capacity of a layout; they narrow the range to a few tokens.
constexpr int capacity_search_steps = 16;
constexpr double milliseconds_per_second = 1000;

/// Memory in MB per stream and layer that an engine with this span uses beside the cache of its streams, as
/// weights or not at all. The lower, the better the span suits the card.
double head_overhead(const engine_profile& profile, const placeable_engine& engine, unsigned layers)
{
    const card_kind* card = profile.find_card(engine.card);
    const double streams = count_head_streams(profile, engine, layers);
    if (card == nullptr || streams < 1) {
        return std::numeric_limits<double>::infinity();
    }
    const double stream_mb = usual_request_tokens(profile) * profile.token_layer_mb();
    return card->memory_mb / (streams * layers) - stream_mb;
}

/// Longest span with cache for all request slots; one layer if there is none.
unsigned find_matching_span(const engine_profile& profile, const placeable_engine& engine)
{
    unsigned span = 1;
    while (span + 1 < profile.layers
        && count_cached_streams(profile, engine, span + 1) >= profile.request_slots) {
        ++span;
    }
    return span;
}

/// Searches the heads of one group of halls.
class head_search
{
public:
    head_search(const engine_profile& profile, const engine_list& engines, const placement_aim& aim)
        : profile(profile)
        , engines(engines)
        , min_tokens(aim.min_requests * usual_request_tokens(profile))
        , fewest_copies(std::max(
              min_copies_behind, static_cast<unsigned>(static_cast<double>(engines.size()) / aim.max_stages)))
    {
        for (const placeable_engine* engine : engines) {
            const card_kind* card = profile.find_card(engine->card);
            this->memory_mb[engine] = card == nullptr ? 0 : card->memory_mb;
        }
    }

    /// The plan of most worth, if it is worth more than `least`.
    [[nodiscard]] head_plan run(double least) const
    {
        head_plan best;
        for (const unsigned span : this->list_spans()) {
            const engine_list ranked = this->rank_heads(span);
            for (unsigned more = 0; more <= further_copies; ++more) {
                const double copies = this->fewest_copies + more;
                const std::size_t enough = this->find_enough_heads(ranked, span, copies);
                for (std::size_t fewer = 0; fewer <= fewer_heads_tried && fewer < enough; ++fewer) {
                    const head_plan tried = this->lay_out(ranked, enough - fewer, span, copies);
                    if (tried.room.worth() > least) {
                        least = tried.room.worth();
                        best = tried;
                    }
                    if (tried.applies()) {
                        break; // with fewer heads, these carry less
                    }
                }
            }
        }
        return best;
    }

private:
    /// Spans whose cache matches the slots of some card, with one layer more or less.
    [[nodiscard]] std::set<unsigned> list_spans() const
    {
        std::set<std::string> cards;
        std::set<unsigned> spans;
        for (const placeable_engine* engine : this->engines) {
            if (!cards.insert(engine->card).second) {
                continue;
            }
            const unsigned matching = find_matching_span(this->profile, *engine);
            for (unsigned span = std::max(matching, 2U) - 1; span <= matching + 1; ++span) {
                if (span < this->profile.layers) {
                    spans.insert(span);
                }
            }
        }
        return spans;
    }

    /// The engines in the order in which they become heads: from each hall in proportion to its engines,
    /// those first that waste least memory.
    [[nodiscard]] engine_list rank_heads(unsigned span) const
    {
        std::map<data_hall_id, engine_list> halls;
        std::size_t left = 0;
        for (const placeable_engine* engine : this->engines) {
            if (count_head_streams(this->profile, *engine, span) >= 1) {
                halls[engine->data_hall].push_back(engine);
                ++left;
            }
        }
        std::map<data_hall_id, std::size_t> taken;
        for (auto& [hall, list] : halls) {
            std::stable_sort(list.begin(), list.end(),
                [this, span](const placeable_engine* first, const placeable_engine* second) {
                    return head_overhead(this->profile, *first, span)
                        < head_overhead(this->profile, *second, span);
                });
        }
        engine_list ranked;
        for (; left > 0; --left) {
            const auto next = std::min_element(halls.begin(), halls.end(), [&](auto& first, auto& second) {
                const auto share_of = [&taken](const auto& hall) {
                    return static_cast<double>(taken[hall.first] + 1)
                        / static_cast<double>(hall.second.size())
                        + (taken[hall.first] < hall.second.size() ? 0 : 1);
                };
                return share_of(first) < share_of(second);
            });
            ranked.push_back(next->second[taken[next->first]++]);
        }
        return ranked;
    }

    /// Fewest heads that carry what the layers behind them carry then, also after losses.
    [[nodiscard]] std::size_t find_enough_heads(const engine_list& ranked, unsigned span, double copies) const
    {
        std::size_t low = 0;
        std::size_t high = ranked.size();
        while (low + 1 < high) {
            const std::size_t middle = (low + high) / 2;
            (this->lay_out(ranked, middle, span, copies).room.has_enough_heads() ? high : low) = middle;
        }
        return high;
    }

    /// Heads from the first of `ranked`, and copies of the layers behind them on the other engines.
    [[nodiscard]] head_plan lay_out(
        const engine_list& ranked, std::size_t count, unsigned span, double copies) const
    {
        head_plan plan;
        plan.heads.assign(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count));
        const std::set<const placeable_engine*> taken(plan.heads.begin(), plan.heads.end());
        engine_list behind;
        for (const placeable_engine* engine : this->engines) {
            if (taken.count(engine) == 0) {
                behind.push_back(engine);
            }
        }
        const auto layers = static_cast<unsigned>(std::ceil(copies * (this->profile.layers - span)));
        plan.token_capacity = this->find_capacity(behind, span, layers);
        if (plan.token_capacity < this->min_tokens) {
            return plan;
        }
        plan.layout = lay_out_copies(this->profile, this->size_engines(behind, plan.token_capacity), span);
        for (const placeable_engine* head : plan.heads) {
            plan.layout.push_back({head, {0, span}});
        }
        plan.span = span;
        plan.room = measure_room(this->profile, plan.layout);
        return plan;
    }

    /// True if successive copies on engines of these sizes cover this many layers.
    [[nodiscard]] bool covers(const std::vector<sized_engine>& sized, unsigned span, unsigned layers) const
    {
        const unsigned whole = this->profile.layers - span;
        unsigned covered = 0;
        for (const sized_engine& item : sized) {
            covered += std::min(item.layers, whole - covered % whole); // a copy ends with the last layer
        }
        return covered >= layers;
    }

    [[nodiscard]] std::vector<sized_engine> size_engines(const engine_list& list, double tokens) const
    {
        const double each_mb = this->profile.layer_mb + tokens * this->profile.token_layer_mb();
        std::vector<sized_engine> sized;
        sized.reserve(list.size());
        for (const placeable_engine* engine : list) {
            sized.push_back({engine, static_cast<unsigned>(this->memory_mb.at(engine) / each_mb)});
        }
        return sized;
    }

    /// Largest token capacity with which the engines cover this many layers; 0 if there is none.
    [[nodiscard]] double find_capacity(const engine_list& list, unsigned span, unsigned layers) const
    {
        const double memory = std::accumulate(list.begin(), list.end(), 0.0,
            [this](double sum, const placeable_engine* engine) { return sum + this->memory_mb.at(engine); });
        const double cache_mb = memory / layers - this->profile.layer_mb;
        double low = 0;
        double high = std::max(0.0, cache_mb / std::max(this->profile.token_layer_mb(), 1e-9));
        for (int turn = 0; turn < capacity_search_steps; ++turn) {
            const double middle = (low + high) / 2;
            (this->covers(this->size_engines(list, middle), span, layers) ? low : high) = middle;
        }
        return low;
    }

    const engine_profile& profile;
    const engine_list& engines;
    double min_tokens;
    unsigned fewest_copies;
    std::map<const placeable_engine*, double> memory_mb;
};

/// True if the request slots of some head are fewer than its cache holds streams, and the heads carry too
/// little with them. Between halls, the pipe may carry less than the heads.
bool are_slots_scarce(
    const engine_profile& profile, const std::vector<placed_span>& plain, const layout_room& room)
{
    const bool is_bound = std::any_of(plain.begin(), plain.end(), [&profile](const placed_span& placed) {
        return placed.span.holds(0)
            && count_cached_streams(profile, *placed.engine, placed.span.count()) > profile.request_slots;
    });
    if (!is_bound || room.has_enough_heads()) {
        return false;
    }
    const bool is_one_hall = std::all_of(plain.begin(), plain.end(), [&plain](const placed_span& placed) {
        return placed.engine->data_hall == plain.front().engine->data_hall;
    });
    const double piped = predict_pipe_rate(profile) * room.residence_ms / milliseconds_per_second;
    return is_one_hall || piped > room.head_streams;
}

std::size_t count_missing_heads(const head_plan& plan, const engine_list& engines)
{
    const auto held = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(),
        [](const placeable_engine* engine) { return engine->held.holds(0); }));
    return plan.applies() && plan.heads.size() > held ? plan.heads.size() - held : 0;
}

/// Span of an engine that becomes a head: it ends where most engines behind the heads go on, and suits the
/// card. Empty if none goes on there: the paths of such a head would use the cache of other heads.
layer_span choose_head_span(const engine_profile& profile, const head_plan& plan, const engine_list& engines,
    const placeable_engine& head)
{
    const auto followers = [&engines, &head](unsigned layer) {
        return std::count_if(engines.begin(), engines.end(), [&](const placeable_engine* engine) {
            return engine != &head && !engine->held.holds(0) && engine->held.holds(layer);
        });
    };
    unsigned best = 0;
    auto best_rank = std::make_tuple(std::ptrdiff_t{0}, 0.0);
    const bool bears_planned_span =
        count_head_streams(profile, head, plan.span) >= least_slot_share * profile.request_slots;
    const unsigned longest = std::max(find_matching_span(profile, head), bears_planned_span ? plan.span : 0);
    for (unsigned span = 1; span <= longest; ++span) {
        const double overhead = head_overhead(profile, head, span);
        const auto rank = std::make_tuple(followers(span), -overhead);
        if (std::isfinite(overhead) && std::get<0>(rank) > 0 && (best == 0 || rank > best_rank)) {
            best = span;
            best_rank = rank;
        }
    }
    return {0, best};
}

} // namespace

head_plan plan_heads(
    const engine_profile& profile, const engine_list& engines, const placement_aim& aim, double plain_tokens)
{
    head_plan plain;
    if (profile.request_slots == 0) {
        return plain;
    }
    const std::vector<placed_span> layout =
        lay_out_copies(profile, size_engines(profile, engines, plain_tokens), 0);
    plain.room = measure_room(profile, layout);
    if (!are_slots_scarce(profile, layout, plain.room)) {
        return plain;
    }
    const head_plan found = head_search(profile, engines, aim).run(plain.room.worth() * (1 + min_gain));
    return found.applies() ? found : plain;
}

std::vector<placed_span> choose_missing_heads(
    const engine_profile& profile, const head_plan& plan, const engine_list& engines)
{
    std::size_t missing = count_missing_heads(plan, engines);
    std::vector<placed_span> suited;
    for (const placeable_engine* engine : engines) {
        const bool may_lead = missing > 0 && engine->held.is_empty();
        const layer_span span = may_lead ? choose_head_span(profile, plan, engines, *engine) : layer_span();
        if (!span.is_empty()) {
            suited.push_back({engine, span});
        }
    }
    const auto rank_of = [&plan](const placed_span& placed) {
        const unsigned longer = std::max(placed.span.end, plan.span) - std::min(placed.span.end, plan.span);
        return std::make_tuple(longer, placed.engine->is_absent);
    };
    std::stable_sort(suited.begin(), suited.end(),
        [&rank_of](const auto& first, const auto& second) { return rank_of(first) < rank_of(second); });
    suited.resize(std::min(missing, suited.size()));
    std::erase_if(suited, [](const placed_span& placed) { return placed.engine->is_absent; });
    return suited;
}

std::vector<placement_step> convert_to_heads(
    const engine_profile& profile, const head_plan& plan, const engine_list& engines)
{
    std::vector<placed_span> layout;
    layer_coverage coverage(profile.layers);
    for (const placeable_engine* engine : engines) {
        layout.push_back({engine, engine->held});
        coverage.add_holder(engine->held, 0);
    }
    std::vector<placement_step> steps;
    const std::size_t wanted = std::min(count_missing_heads(plan, engines), max_conversions);
    while (steps.size() < wanted) {
        double most = measure_room(profile, layout).worth();
        placed_span* best = nullptr;
        layer_span best_span;
        for (placed_span& placed : layout) {
            const layer_span own = placed.span;
            const layer_span span = choose_head_span(profile, plan, engines, *placed.engine);
            if (own.is_empty() || own.holds(0) || span.is_empty() || !coverage.keeps_coverage(own, span)) {
                continue;
            }
            placed.span = span;
            const double worth = measure_room(profile, layout).worth();
            placed.span = own;
            if (worth > most) {
                most = worth;
                best = &placed;
                best_span = span;
            }
        }
        if (best == nullptr) {
            break;
        }
        coverage.remove_holder(best->span);
        best->span = best_span;
        steps.push_back({best->engine->id, best_span});
    }
    return steps;
}

} // namespace sailtiller
