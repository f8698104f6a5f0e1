// SPDX-License-Identifier: Apache-2.0
#include <placement/hallgroups.h>
#include <placement/headplan.h>
#include <placement/layercost.h>
#include <placement/layercoverage.h>
#include <placement/layerplan.h>
#include <placement/layoutbalance.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <tuple>

namespace sailtiller {

namespace {

/// A layer that one of three holders of whole copies has left carries two thirds of the mean rate; another
/// holder there raises the overall rate of 80 layers by one in a hundred.
constexpr double uneven_share_behind_heads = 0.75;
constexpr double min_gain_behind_heads = 0.01;

/// Plan for one group of halls.
class group_plan
{
public:
    group_plan(
        const engine_profile& profile, const placement_aim& aim, engine_list engines, observation_phase phase)
        : profile(profile)
        , aim(aim)
        , engines(std::move(engines))
        , phase(phase)
        , coverage(profile.layers)
    {
        for (const placeable_engine* engine : this->engines) {
            this->coverage.add_holder(engine->held, this->cost_on(*engine));
        }
        this->token_capacity = choose_token_capacity(profile, this->engines, aim);
        if (this->needs_heads()) {
            this->heads = plan_heads(profile, this->engines, aim, this->token_capacity);
        }
        if (this->heads.applies()) {
            this->token_capacity = this->heads.token_capacity;
        }
    }

    std::vector<placement_step> run()
    {
        const bool is_fresh = std::all_of(this->engines.begin(), this->engines.end(),
            [](const placeable_engine* engine) { return engine->held.is_empty(); });
        if (is_fresh) {
            this->lay_out_all();
            return this->steps;
        }
        this->assign_empty_engines();
        this->extend_into_coverage_gaps();
        this->move_into_coverage_gaps();
        if (!this->aim.balances || this->is_changing()) {
            return this->steps;
        }
        if (this->coverage.has_coverage_gap() && this->phase != observation_phase::begun) {
            this->lay_out_in_place();
        } else if (this->phase == observation_phase::stable) {
            return this->balance();
        }
        return this->steps;
    }

private:
    [[nodiscard]] double cost_on(const placeable_engine& engine) const
    {
        const card_kind* card = this->profile.find_card(engine.card);
        return card == nullptr ? std::numeric_limits<double>::infinity()
                               : predict_layer_cost(this->profile, *card, this->aim);
    }

    /// True if the layout is about to change: a layout under repair does not show what it will carry.
    [[nodiscard]] bool is_changing() const
    {
        return !this->steps.empty()
            || std::any_of(this->engines.begin(), this->engines.end(),
                [](const placeable_engine* engine) { return engine->is_loading || engine->is_absent; });
    }

    /// True if the capacity of some engine, or the request slots, are nearly used up, so that callers benefit
    /// from a better layout. Otherwise balancing only costs the streams that each step moves.
    [[nodiscard]] bool is_nearly_used_up(double placeable_engine::*used) const
    {
        return std::any_of(this->engines.begin(), this->engines.end(),
            [&](const placeable_engine* engine) { return engine->*used >= this->aim.high_usage_share; });
    }

    /// True if this run may place layers, for which it needs to know the heads.
    [[nodiscard]] bool needs_heads() const
    {
        const bool has_empty = std::any_of(this->engines.begin(), this->engines.end(),
            [](const placeable_engine* engine) { return engine->held.is_empty() && !engine->is_absent; });
        const bool may_balance = this->phase == observation_phase::stable
            && (this->is_nearly_used_up(&placeable_engine::used_share)
                || this->is_nearly_used_up(&placeable_engine::used_slot_share));
        return has_empty || may_balance || this->coverage.has_coverage_gap();
    }

    /// Steps for a layout without gaps whose memory or slots are nearly used up.
    [[nodiscard]] std::vector<placement_step> balance() const
    {
        const bool has_full_memory = this->is_nearly_used_up(&placeable_engine::used_share);
        if (has_full_memory || this->is_nearly_used_up(&placeable_engine::used_slot_share)) {
            std::vector<placement_step> converted =
                convert_to_heads(this->profile, this->heads, this->engines);
            if (!converted.empty()) {
                return converted;
            }
        }
        if (!has_full_memory) {
            return {};
        }
        balance_limits limits;
        if (this->heads.applies()) {
            // Behind such heads the copies are whole, so one layer that lacks a holder bounds all.
            limits.min_gain_when_uneven = min_gain_behind_heads;
            limits.uneven_share = uneven_share_behind_heads;
            limits.head_slots = this->profile.request_slots;
        }
        return balance_layout(this->profile, this->engines, this->token_capacity, limits);
    }

    /// Closes a gap that no single step closes with a new layout near the present one. Heads with layers of
    /// their own keep them if the other engines can hold the rest.
    void lay_out_in_place()
    {
        unsigned led = 0;
        engine_list others;
        for (const placeable_engine* engine : this->engines) {
            if (this->heads.applies() && engine->held.holds(0)) {
                led = std::max(led, engine->held.end);
            } else {
                others.push_back(engine);
            }
        }
        auto wanted = lay_out_nearby(this->profile, others, this->token_capacity, led);
        if (!wanted && led > 0) {
            wanted = lay_out_nearby(this->profile, this->engines, this->token_capacity, 0);
        }
        if (wanted) {
            this->add_steps_towards(*wanted);
        }
    }

    /// Adds the steps that release no last holder. If there are none, adds all steps, as no path crosses the
    /// gap anyway.
    void add_steps_towards(const std::vector<placed_span>& wanted)
    {
        layer_coverage left = this->coverage;
        for (const placed_span& move : wanted) {
            if (left.keeps_coverage(move.engine->held, move.span)) {
                left.remove_holder(move.engine->held);
                this->place(*move.engine, move.span);
            }
        }
        if (!this->steps.empty()) {
            return;
        }
        for (const placed_span& move : wanted) {
            this->place(*move.engine, move.span);
        }
    }

    void place(const placeable_engine& engine, layer_span span)
    {
        this->coverage.remove_holder(engine.held);
        const bool closes_coverage_gap = this->coverage.has_coverage_gap_within(span);
        this->coverage.add_holder(span, this->cost_on(engine));
        this->steps.push_back({engine.id, span, closes_coverage_gap});
        this->moved.insert(engine.id);
    }

    /// Lays out empty engines: the heads, if they have layers of their own, then one copy after the other of
    /// the layers behind, as many layers per engine as fit.
    void lay_out_all()
    {
        engine_list present;
        for (const placeable_engine* engine : this->engines) {
            if (!engine->is_absent) {
                present.push_back(engine);
            }
        }
        if (this->heads.applies() && present.size() == this->engines.size()) {
            this->place_all(this->heads.layout);
            return;
        }
        std::erase_if(present, [this](const placeable_engine* engine) {
            const engine_list& chosen = this->heads.heads;
            const bool is_head = std::find(chosen.begin(), chosen.end(), engine) != chosen.end();
            if (is_head) {
                this->place(*engine, {0, this->heads.span});
            }
            return is_head;
        });
        // Without a head that is present, the others hold whole copies.
        const unsigned first = this->steps.empty() ? 0 : this->heads.span;
        this->place_all(
            lay_out_copies(this->profile, size_engines(this->profile, present, this->token_capacity), first));
    }

    void place_all(const std::vector<placed_span>& layout)
    {
        for (const placed_span& placed : layout) {
            this->place(*placed.engine, placed.span);
        }
    }

    /// Places the empty engines that replace missing heads, unless a gap elsewhere needs them. Returns the
    /// other empty engines.
    engine_list assign_missing_heads()
    {
        engine_list others;
        std::map<const placeable_engine*, layer_span> leading;
        const std::vector<placed_span> missing =
            choose_missing_heads(this->profile, this->heads, this->engines);
        for (const placed_span& placed : missing) {
            leading[placed.engine] = placed.span;
        }
        const layer_span gap = this->coverage.find_coverage_gap(this->heads.span);
        for (const placeable_engine* engine : this->engines) {
            if (!engine->held.is_empty() || engine->is_absent) {
                continue;
            }
            const auto found = leading.find(engine);
            if (found != leading.end() && gap.is_empty()) {
                this->place(*engine, found->second);
            } else {
                others.push_back(engine);
            }
        }
        return others;
    }

    void assign_empty_engines()
    {
        const engine_list empty = this->assign_missing_heads();
        const unsigned share = this->aim.balances ? this->gap_layers_per_engine(empty.size()) : 0;
        for (const placeable_engine* engine : empty) {
            const unsigned most = count_placeable_layers(this->profile, *engine, this->token_capacity);
            const unsigned size =
                share > 0 && this->coverage.has_coverage_gap() ? std::min(most, share) : most;
            if (size > 0) {
                const bool has_head = this->coverage.holder_count(0) > 0;
                const unsigned first = has_head ? this->heads.span : 0;
                this->place(*engine, this->coverage.find_most_valuable(size, this->cost_on(*engine), first));
            }
        }
    }

    /// Number of gap layers for each of `engine_count` empty engines. Loads run in parallel, so several
    /// engines that load a few layers each close a gap sooner than one that loads all of them. They are
    /// assigned more layers later.
    [[nodiscard]] unsigned gap_layers_per_engine(std::size_t engine_count) const
    {
        const unsigned open = this->coverage.count_uncovered();
        const auto count = static_cast<unsigned>(engine_count);
        return count == 0 ? 0 : (open + count - 1) / count;
    }

    void extend_into_coverage_gaps()
    {
        unsigned begin = 0;
        for (layer_span gap = this->coverage.find_coverage_gap(begin); !gap.is_empty();
             gap = this->coverage.find_coverage_gap(begin)) {
            // More layers leave a head less cache than its request slots need.
            if (!this->extend_into(gap, !this->heads.applies()) && this->heads.applies()) {
                this->extend_into(gap, true);
            }
            begin = gap.end;
        }
    }

    /// Closes a gap from both sides, each by about half, or from one side if the other cannot. Returns
    /// whether the engines can.
    bool extend_into(const layer_span& gap, bool with_heads)
    {
        const placeable_engine* left = this->find_neighbour(gap, true, with_heads);
        const placeable_engine* right = this->find_neighbour(gap, false, with_heads);
        const unsigned left_most = left == nullptr ? 0 : this->spare_layers(*left, true);
        const unsigned right_most = right == nullptr ? 0 : this->spare_layers(*right, false);
        if (left_most + right_most < gap.count()) {
            return false; // a smaller gap still stops all paths
        }
        const unsigned half = gap.count() / 2;
        const unsigned from_left = std::clamp(
            half, gap.count() - std::min(right_most, gap.count()), std::min(left_most, gap.count()));
        if (from_left > 0) {
            this->place(*left, this->extend(*left, true, from_left));
        }
        if (from_left < gap.count()) {
            this->place(*right, this->extend(*right, false, gap.count() - from_left));
        }
        return true;
    }

    /// Engine whose span ends or begins at the gap and that can take most of it.
    [[nodiscard]] const placeable_engine* find_neighbour(
        const layer_span& gap, bool is_left, bool with_heads) const
    {
        const placeable_engine* best = nullptr;
        for (const placeable_engine* engine : this->engines) {
            const bool is_beside = is_left ? engine->held.end == gap.begin : engine->held.begin == gap.end;
            const bool is_spared = !with_heads && engine->held.holds(0);
            if (!is_beside || is_spared || engine->held.is_empty() || this->moved.count(engine->id) != 0) {
                continue;
            }
            if (best == nullptr
                || this->spare_layers(*engine, is_left) > this->spare_layers(*best, is_left)) {
                best = engine;
            }
        }
        return best;
    }

    [[nodiscard]] unsigned max_layers_at_coverage_gap(const placeable_engine& engine) const
    {
        return count_placeable_layers(this->profile, engine,
            this->aim.min_requests_at_coverage_gap * usual_request_tokens(this->profile));
    }

    /// Number of layers at the far end of the engine that have another holder, so that it may release them.
    [[nodiscard]] unsigned droppable_layers(const placeable_engine& engine, bool is_to_the_right) const
    {
        unsigned count = 0;
        while (count + 1 < engine.held.count()) {
            const unsigned layer = is_to_the_right ? engine.held.begin + count : engine.held.end - 1 - count;
            // An engine starts to load only when no stream uses the layers that it releases, and the first
            // engine of a stream cannot be replaced: one that released layer 0 closed its gap after 11 s
            // instead of 4 s.
            const bool is_pinned = this->aim.balances && layer == 0;
            if (is_pinned || !this->coverage.is_spare(layer)) {
                break;
            }
            ++count;
        }
        return count;
    }

    /// Number of layers that the engine can take beyond its end, or before its begin.
    [[nodiscard]] unsigned spare_layers(const placeable_engine& engine, bool is_to_the_right) const
    {
        const unsigned kept = engine.held.count() - this->droppable_layers(engine, is_to_the_right);
        const unsigned most = this->max_layers_at_coverage_gap(engine);
        return most > kept ? most - kept : 0;
    }

    [[nodiscard]] layer_span extend(const placeable_engine& engine, bool is_to_the_right, unsigned more) const
    {
        const unsigned most = std::max(this->max_layers_at_coverage_gap(engine), engine.held.count());
        const unsigned wanted = engine.held.count() + more;
        const unsigned dropped = wanted > most ? wanted - most : 0;
        if (is_to_the_right) {
            return {engine.held.begin + dropped, engine.held.end + more};
        }
        return {engine.held.begin - more, engine.held.end - dropped};
    }

    /// True if every layer of the engine has another holder.
    [[nodiscard]] bool is_redundant(const placeable_engine& engine) const
    {
        if (engine.held.is_empty() || this->moved.count(engine.id) != 0) {
            return false;
        }
        for (unsigned layer = engine.held.begin; layer < engine.held.end; ++layer) {
            if (!this->coverage.is_spare(layer)) {
                return false;
            }
        }
        return true;
    }

    /// Engines in the order in which they may move: those without layer 0 first, as streams can be rerouted
    /// around them, then those with few layers, which load fastest and carry least.
    [[nodiscard]] engine_list list_donors() const
    {
        engine_list donors = this->engines;
        const auto rank_of = [](const placeable_engine* engine) {
            return std::make_pair(engine->held.holds(0), engine->held.count());
        };
        std::stable_sort(donors.begin(), donors.end(),
            [&rank_of](const placeable_engine* left, const placeable_engine* right) {
                return rank_of(left) < rank_of(right);
            });
        return donors;
    }

    /// Span with the highest value for the engine if it held nothing.
    [[nodiscard]] layer_span find_best_span(const placeable_engine& engine, unsigned size) const
    {
        layer_coverage others = this->coverage;
        others.remove_holder(engine.held);
        return others.find_most_valuable(size, this->cost_on(engine));
    }

    void move_into_coverage_gaps()
    {
        for (const placeable_engine* engine : this->list_donors()) {
            if (!this->coverage.has_coverage_gap()) {
                return;
            }
            const unsigned size = count_placeable_layers(this->profile, *engine, this->token_capacity);
            if (size > 0 && this->is_redundant(*engine)) {
                this->place(*engine, this->find_best_span(*engine, size));
            }
        }
    }

    const engine_profile& profile;
    const placement_aim& aim;
    engine_list engines;
    observation_phase phase;
    layer_coverage coverage;
    double token_capacity = 0;
    head_plan heads; ///< applies only if request slots bind before memory
    std::vector<placement_step> steps;
    std::set<upstream_id> moved;
};

/// Clips the spans of the engines to the layers of the model: the entry of an engine may name layers beyond
/// it.
std::vector<placeable_engine> bound_to_model(
    const engine_profile& profile, const std::vector<placeable_engine>& engines)
{
    std::vector<placeable_engine> bounded = engines;
    for (placeable_engine& engine : bounded) {
        engine.held.end = std::min(engine.held.end, profile.layers);
        engine.held = engine.held.is_empty() ? layer_span() : engine.held;
    }
    return bounded;
}

/// Sorts by hall, then by cost of the card. The order is the same on every host. A copy of the layers laid
/// out in it leaves each hall once, and the first copy is on the cheapest cards.
void sort_engines(const engine_profile& profile, engine_list& engines, const placement_aim& aim)
{
    const auto rank_of = [&profile, &aim](const placeable_engine* engine) {
        const card_kind* card = profile.find_card(engine->card);
        const double cost = card == nullptr ? 0 : predict_layer_cost(profile, *card, aim);
        return std::make_tuple(std::cref(engine->data_hall), cost, std::cref(engine->id));
    };
    std::sort(engines.begin(), engines.end(),
        [&rank_of](const placeable_engine* left, const placeable_engine* right) {
            return rank_of(left) < rank_of(right);
        });
}

} // namespace

std::vector<placement_step> plan_layers(const engine_profile& profile,
    const std::vector<placeable_engine>& engines, const placement_aim& aim, observation_phase phase)
{
    const std::vector<placeable_engine> bounded = bound_to_model(profile, engines);
    std::vector<placement_step> steps;
    for (engine_list& group : split_into_hall_groups(profile, bounded, aim)) {
        sort_engines(profile, group, aim);
        const std::vector<placement_step> own = group_plan(profile, aim, std::move(group), phase).run();
        steps.insert(steps.end(), own.begin(), own.end());
    }
    return steps;
}

std::vector<unsigned> count_holders(
    const engine_profile& profile, const std::vector<placeable_engine>& engines)
{
    std::vector<unsigned> holders(profile.layers, 0);
    for (const placeable_engine& engine : engines) {
        for (unsigned layer = engine.held.begin; layer < std::min(engine.held.end, profile.layers); ++layer) {
            ++holders[layer];
        }
    }
    return holders;
}

} // namespace sailtiller
