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

/// Requests a second below which a layer passes none; keeps the mean finite.
constexpr double least_rate = 1e-3;
constexpr double milliseconds_per_second = 1000;
/// Holders of the first layer from which one may leave: its engine can't be replaced within a running stream.
constexpr unsigned least_head_holders = 3;

/// Part of a layer in the power mean of the rates, whose power is -4: a layer at half of the others' rate
/// counts 16 times.
double weigh(double rate)
{
    const double square = std::max(rate, least_rate) * std::max(rate, least_rate);
    return 1 / (square * square);
}

/// The power mean, from the sum of its parts.
double mean_of(double sum, std::size_t count)
{
    return std::sqrt(std::sqrt(static_cast<double>(count) / sum));
}

/// Searches the steps of one layout.
class balance_search
{
public:
    balance_search(
        const engine_profile& profile, const engine_list& engines, double room, const balance_limits& limits)
        : profile(profile)
        , limits(limits)
        , room(room)
        , engines(engines)
        , rates(profile, engines, predict_life_ms(profile, engines, room))
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
        while (steps.size() < this->limits.most_steps) {
            const option best = this->find_best();
            if (best.engine == nullptr) {
                break;
            }
            this->apply(best);
            steps.push_back({best.engine->id, best.span});
        }
        return steps;
    }

private:
    struct option
    {
        const placeable_engine* engine = nullptr;
        layer_span span;
        double overall = 0;
    };

    [[nodiscard]] option find_best() const
    {
        option best;
        const double overall = this->rates.overall();
        const bool is_in_need = this->rates.weakest() < this->limits.need_share * this->rates.mean();
        best.overall =
            overall * (1 + (is_in_need ? this->limits.least_gain_in_need : this->limits.least_gain));
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
            }
        }
        return best;
    }

    [[nodiscard]] bool may_move(const placeable_engine& engine) const
    {
        return !this->held.at(&engine).is_empty() && this->moved.count(&engine) == 0;
    }

    /// The engine takes layers more from a neighbour in the path, which then gives them up: better only with
    /// both steps done, so that none of them would be found alone.
    void try_relief(const placeable_engine& engine, option& best) const
    {
        const layer_span& own = this->held.at(&engine);
        const unsigned most = count_layers_beside(this->profile, engine, this->room);
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

    /// The engine takes all layers that only a neighbour holds, which is then free to go where a layer passes
    /// the least.
    void try_takeover(const placeable_engine& engine, option& best) const
    {
        const layer_span& own = this->held.at(&engine);
        const unsigned most = count_layers_beside(this->profile, engine, this->room);
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
            option freed;
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

    /// From the first to the last of the layers that have no other holder; empty if all have one.
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
        const unsigned most = count_layers_beside(this->profile, engine, this->room);
        const auto least = static_cast<unsigned>(std::ceil(most * this->limits.least_filled));
        for (unsigned size = std::max(least, 1U); size <= most; ++size) {
            for (unsigned begin = 0; begin + size <= this->profile.layers; ++begin) {
                visit(layer_span{begin, begin + size});
            }
        }
    }

    void try_spans(const placeable_engine& engine, option& best) const
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

    /// True if every layer that the engine would give up has holders enough.
    [[nodiscard]] bool may_leave(const layer_span& from, const layer_span& to) const
    {
        const bool leaves_head = from.holds(0) && !to.holds(0);
        return this->coverage.may_lose(from, to)
            && (!leaves_head || this->coverage.holder_count(0) >= least_head_holders);
    }

    void apply(const option& chosen)
    {
        layer_span& span = this->held.at(chosen.engine);
        this->rates.move(*chosen.engine, span, chosen.span);
        // What it loads isn't there yet, so no later step may rely on it.
        this->coverage.remove_holder({span.begin, std::min(span.end, chosen.span.begin)});
        this->coverage.remove_holder({std::max(span.begin, chosen.span.end), span.end});
        span = chosen.span;
        this->moved.insert(chosen.engine);
    }

    const engine_profile& profile;
    const balance_limits& limits;
    double room;
    const engine_list& engines;
    layout_rates rates;
    layer_coverage coverage; ///< without those that would load a layer first
    std::map<const placeable_engine*, layer_span> held;
    std::set<const placeable_engine*> moved;
};

} // namespace

layout_rates::layout_rates(const engine_profile& profile, const engine_list& engines, double life_ms)
    : profile(profile)
    , life_ms(std::max(life_ms, 1.0))
    , rates(profile.layers, 0)
{
    for (const placeable_engine* engine : engines) {
        this->add_rate(engine->held, this->rate_of(*engine, engine->held.count()));
    }
    this->sum_parts();
}

double layout_rates::rate_of(const placeable_engine& engine, unsigned layers) const
{
    const card_kind* card = this->profile.find_card(engine.card);
    if (card == nullptr || layers == 0) {
        return 0;
    }
    const double room_mb = std::max(0.0, card->memory_mb - layers * this->profile.layer_mb);
    const double request_mb = usual_tokens(this->profile) * this->profile.token_layer_mb() * layers;
    const double by_room = room_mb / std::max(request_mb, 1e-9) * milliseconds_per_second / this->life_ms;
    const double reading_ms = predict_prompt_ms(this->profile, *card) * layers / this->profile.layers;
    return reading_ms <= 0 ? by_room : std::min(by_room, milliseconds_per_second / reading_ms);
}

void layout_rates::move(const placeable_engine& engine, const layer_span& from, const layer_span& to)
{
    this->add_rate(from, -this->rate_of(engine, from.count()));
    this->add_rate(to, this->rate_of(engine, to.count()));
    this->sum_parts();
}

void layout_rates::add_rate(const layer_span& span, double rate)
{
    for (unsigned layer = span.begin; layer < span.end; ++layer) {
        this->rates[layer] += rate;
    }
}

void layout_rates::sum_parts()
{
    // Anew each time: a layer that passes nothing has so large a part that all others would be lost in it.
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
        const double after =
            before - (from.holds(layer) ? rate_before : 0) + (to.holds(layer) ? rate_after : 0);
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
    const engine_profile& profile, const engine_list& engines, double room, const balance_limits& limits)
{
    return balance_search(profile, engines, room, limits).run();
}

} // namespace sailtiller
