// SPDX-License-Identifier: Apache-2.0
#include <placement/layercost.h>
#include <placement/layercoverage.h>
#include <placement/layoutbalance.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <set>

namespace sailtiller {

namespace {

/// Lower bound of a rate in requests per second, which keeps the power mean finite.
constexpr double min_rate = 1e-3;
constexpr double milliseconds_per_second = 1000;
/// Minimum holders of layer 0 for one of them to move: the first engine of a path cannot be replaced within a
/// running stream.
constexpr unsigned min_first_layer_holders = 3;

/// Weight of a layer in the power mean of the rates with exponent -4: a layer at half of the rate of the
/// others counts 16 times.
double weigh(double rate)
{
    const double square = std::max(rate, min_rate) * std::max(rate, min_rate);
    return 1 / (square * square);
}

/// Power mean from the sum of the weights.
double mean_of(double sum, std::size_t count)
{
    return std::sqrt(std::sqrt(static_cast<double>(count) / sum));
}

/// Searches the balancing steps of one layout.
class balance_search
{
public:
    balance_search(const engine_profile& profile, const engine_list& engines, double capacity,
        const balance_limits& limits)
        : profile(profile)
        , limits(limits)
        , capacity(capacity)
        , engines(engines)
        , rates(profile, engines, predict_residence_ms(profile, engines, capacity), limits.head_slots)
        , coverage(profile.layers)
    {
        for (const placeable_engine* engine : engines) {
            this->held[engine] = engine->held;
            this->coverage.add_holder(engine->held, 0);
        }
    }

    std::vector<placement_step> run()
    {
        std::vector<placement_step> steps;
        while (steps.size() < this->limits.max_steps) {
            const candidate best = this->find_best();
            if (best.engine == nullptr) {
                break;
            }
            this->apply(best);
            steps.push_back({best.engine->id, best.span});
        }
        return steps;
    }

private:
    struct candidate
    {
        const placeable_engine* engine = nullptr;
        layer_span span;
        double overall = 0;
    };

    [[nodiscard]] candidate find_best() const
    {
        candidate best;
        const double overall = this->rates.overall();
        const bool is_uneven = this->rates.weakest() < this->limits.uneven_share * this->rates.mean();
        best.overall =
            overall * (1 + (is_uneven ? this->limits.min_gain_when_uneven : this->limits.min_gain));
        for (const placeable_engine* engine : this->engines) {
            if (this->may_move(*engine)) {
                this->try_spans(*engine, best);
            }
        }
        if (best.engine != nullptr) {
            return best;
        }
        for (const placeable_engine* engine : this->engines) {
            if (this->may_move(*engine)) {
                this->try_relief(*engine, best);
                this->try_takeover(*engine, best);
                this->try_handover(*engine, best);
            }
        }
        return best;
    }

    [[nodiscard]] bool may_move(const placeable_engine& engine) const
    {
        const layer_span& own = this->held.at(&engine);
        const bool is_fixed_head = this->limits.head_slots > 0 && own.holds(0);
        return !own.is_empty() && !is_fixed_head && this->moved.count(&engine) == 0;
    }

    /// Tries to take layers over from a neighbour in the path, which then releases them. Only both steps
    /// together improve the layout, so neither is found alone.
    void try_relief(const placeable_engine& engine, candidate& best) const
    {
        const layer_span& own = this->held.at(&engine);
        const unsigned most = count_placeable_layers(this->profile, engine, this->capacity);
        for (const placeable_engine* other : this->engines) {
            const layer_span& theirs = this->held.at(other);
            if (other == &engine || !this->may_move(*other)) {
                continue;
            }
            const bool is_right = own.end == theirs.begin;
            const bool is_left = theirs.end == own.begin;
            for (unsigned more = 1;
                 (is_right || is_left) && own.count() + more <= most && more < theirs.count(); ++more) {
                const layer_span grown =
                    is_right ? layer_span{own.begin, own.end + more} : layer_span{own.begin - more, own.end};
                const layer_span shrunk = is_right ? layer_span{theirs.begin + more, theirs.end}
                                                   : layer_span{theirs.begin, theirs.end - more};
                layout_rates after = this->rates;
                after.move(engine, own, grown);
                const double overall = after.overall_after(*other, theirs, shrunk);
                if (overall > best.overall) {
                    best = {&engine, grown, overall};
                }
            }
        }
    }

    /// Tries to take over all layers that only a neighbour holds, which may then move to the layers with the
    /// lowest rates.
    void try_takeover(const placeable_engine& engine, candidate& best) const
    {
        const layer_span& own = this->held.at(&engine);
        const unsigned most = count_placeable_layers(this->profile, engine, this->capacity);
        if (own.count() >= most) {
            return;
        }
        for (const placeable_engine* other : this->engines) {
            const layer_span& theirs = this->held.at(other);
            if (other == &engine || !this->may_move(*other)) {
                continue;
            }
            const layer_span only = this->find_only_held(theirs);
            const layer_span grown{std::min(own.begin, only.begin), std::max(own.end, only.end)};
            const bool touches = only.begin <= own.end && own.begin <= only.end;
            if (only.is_empty() || !touches || grown.count() > most || only.holds(0)) {
                continue;
            }
            layout_rates after = this->rates;
            after.move(engine, own, grown);
            candidate freed;
            freed.overall = best.overall;
            this->visit_spans(*other, [&](const layer_span& span) {
                const double overall = after.overall_after(*other, theirs, span);
                if (overall > freed.overall) {
                    freed = {&engine, grown, overall};
                }
            });
            best = freed.engine == nullptr ? best : freed;
        }
    }

    /// Tries to hold one more layer, so that another holder of it may move to the layers with the lowest
    /// rates. Behind heads with layers of their own the copies are whole, and no engine is free to move.
    void try_handover(const placeable_engine& engine, candidate& best) const
    {
        const layer_span& own = this->held.at(&engine);
        if (this->limits.head_slots == 0) {
            return;
        }
        for (const placeable_engine* other : this->engines) {
            const layer_span& theirs = this->held.at(other);
            if (other == &engine || !this->may_move(*other)) {
                continue;
            }
            for (const layer_span& grown :
                {layer_span{own.begin - 1, own.end}, layer_span{own.begin, own.end + 1}}) {
                const unsigned added = grown.begin < own.begin ? grown.begin : own.end;
                if (grown.begin == 0 || grown.end > this->profile.layers || !theirs.holds(added)) {
                    continue;
                }
                layout_rates after = this->rates;
                after.move(engine, own, grown);
                this->visit_spans(*other, [&](const layer_span& span) {
                    const double overall = after.overall_after(*other, theirs, span);
                    if (overall > best.overall && this->coverage.keeps_coverage(theirs, span)) {
                        best = {&engine, grown, overall};
                    }
                });
            }
        }
    }

    /// Smallest span that contains the layers without another holder; empty if all have one.
    [[nodiscard]] layer_span find_only_held(const layer_span& span) const
    {
        layer_span only{span.end, span.end};
        for (unsigned layer = span.begin; layer < span.end; ++layer) {
            if (!this->coverage.is_spare(layer)) {
                only.begin = std::min(only.begin, layer);
                only.end = layer + 1;
            }
        }
        return only.begin < only.end ? only : layer_span();
    }

    /// The spans that the engine might hold.
    template <typename Visit>
    void visit_spans(const placeable_engine& engine, const Visit& visit) const
    {
        const unsigned most = count_placeable_layers(this->profile, engine, this->capacity);
        const auto least = static_cast<unsigned>(std::ceil(most * this->limits.min_fill_share));
        for (unsigned size = std::max(least, 1U); size <= most; ++size) {
            const unsigned first = this->limits.head_slots > 0 ? 1 : 0;
            for (unsigned begin = first; begin + size <= this->profile.layers; ++begin) {
                visit(layer_span{begin, begin + size});
            }
        }
    }

    void try_spans(const placeable_engine& engine, candidate& best) const
    {
        const layer_span& own = this->held.at(&engine);
        this->visit_spans(engine, [&](const layer_span& span) {
            if (!this->may_leave(own, span)) {
                return;
            }
            const double overall = this->rates.overall_after(engine, own, span);
            if (overall > best.overall) {
                best = {&engine, span, overall};
            }
        });
    }

    /// True if every layer that the engine would release has enough other holders.
    [[nodiscard]] bool may_leave(const layer_span& from, const layer_span& to) const
    {
        const bool leaves_head = from.holds(0) && !to.holds(0);
        return this->coverage.keeps_coverage(from, to)
            && (!leaves_head || this->coverage.holder_count(0) >= min_first_layer_holders);
    }

    void apply(const candidate& chosen)
    {
        layer_span& span = this->held.at(chosen.engine);
        this->rates.move(*chosen.engine, span, chosen.span);
        // The new layers are not loaded yet, so no later step may rely on them.
        this->coverage.remove_holder({span.begin, std::min(span.end, chosen.span.begin)});
        this->coverage.remove_holder({std::max(span.begin, chosen.span.end), span.end});
        span = chosen.span;
        this->moved.insert(chosen.engine);
    }

    const engine_profile& profile;
    const balance_limits& limits;
    double capacity;
    const engine_list& engines;
    layout_rates rates;
    layer_coverage coverage; ///< without holders that still have to load the layer
    std::map<const placeable_engine*, layer_span> held;
    std::set<const placeable_engine*> moved;
};

} // namespace

layout_rates::layout_rates(
    const engine_profile& profile, const engine_list& engines, double residence_ms, unsigned head_slots)
    : profile(profile)
    , residence_ms(std::max(residence_ms, 1.0))
    , head_slots(head_slots)
    , rates(profile.layers, 0)
{
    for (const placeable_engine* engine : engines) {
        this->add_holder(engine->held, this->rate_of(*engine, engine->held.count()), 1);
    }
    this->sum_weights();
}

double layout_rates::rate_of(const placeable_engine& engine, unsigned layers) const
{
    const card_kind* card = this->profile.find_card(engine.card);
    if (card == nullptr || layers == 0) {
        return 0;
    }
    const double capacity_mb = std::max(0.0, card->memory_mb - layers * this->profile.layer_mb);
    const double request_mb = usual_request_tokens(this->profile) * this->profile.token_layer_mb() * layers;
    const double rate_by_capacity =
        capacity_mb / std::max(request_mb, 1e-9) * milliseconds_per_second / this->residence_ms;
    const double reading_ms = predict_prompt_ms(this->profile, *card) * layers / this->profile.layers;
    return reading_ms <= 0 ? rate_by_capacity
                           : std::min(rate_by_capacity, milliseconds_per_second / reading_ms);
}

void layout_rates::move(const placeable_engine& engine, const layer_span& from, const layer_span& to)
{
    this->add_holder(from, this->rate_of(engine, from.count()), -1);
    this->add_holder(to, this->rate_of(engine, to.count()), 1);
    this->sum_weights();
}

double layout_rates::bound_rate(unsigned layer, double rate) const
{
    return layer > 0 || this->head_slots == 0
        ? rate
        : std::min(rate, this->head_slots * milliseconds_per_second / this->residence_ms);
}

void layout_rates::add_holder(const layer_span& span, double rate, double sign)
{
    for (unsigned layer = span.begin; layer < span.end; ++layer) {
        this->rates[layer] += sign * this->bound_rate(layer, rate);
    }
}

void layout_rates::sum_weights()
{
    // Summed anew each time: the weight of a layer without a rate is so large that the others would be lost
    // to rounding.
    this->parts = std::accumulate(this->rates.begin(), this->rates.end(), 0.0,
        [](double sum, double rate) { return sum + weigh(rate); });
}

double layout_rates::overall() const
{
    return mean_of(this->parts, this->rates.size());
}

double layout_rates::overall_after(
    const placeable_engine& engine, const layer_span& from, const layer_span& to) const
{
    const double rate_before = this->rate_of(engine, from.count());
    const double rate_after = this->rate_of(engine, to.count());
    double sum = this->parts;
    const auto visit = [&](unsigned layer) {
        const double before = this->rates[layer];
        const double after = before - (from.holds(layer) ? this->bound_rate(layer, rate_before) : 0)
            + (to.holds(layer) ? this->bound_rate(layer, rate_after) : 0);
        sum += weigh(after) - weigh(before);
    };
    for (unsigned layer = from.begin; layer < from.end; ++layer) {
        visit(layer);
    }
    for (unsigned layer = to.begin; layer < to.end; ++layer) {
        if (!from.holds(layer)) {
            visit(layer);
        }
    }
    return mean_of(sum, this->rates.size());
}

double layout_rates::weakest() const
{
    return this->rates.empty() ? 0 : *std::min_element(this->rates.begin(), this->rates.end());
}

double layout_rates::mean() const
{
    const double sum = std::accumulate(this->rates.begin(), this->rates.end(), 0.0);
    return this->rates.empty() ? 0 : sum / static_cast<double>(this->rates.size());
}

std::vector<placement_step> balance_layout(
    const engine_profile& profile, const engine_list& engines, double capacity, const balance_limits& limits)
{
    return balance_search(profile, engines, capacity, limits).run();
}

} // namespace sailtiller
