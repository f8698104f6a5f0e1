// SPDX-License-Identifier: Apache-2.0
#include <placement/layercoverage.h>

#include <algorithm>
#include <limits>

namespace sailtiller {

namespace {

/// Value of one more holder of a layer that has none, one, or more. A layer without a holder stops its hall,
/// so it outweighs any number of others.
constexpr double uncovered_value = 1000;
constexpr double second_holder_value = 10;
constexpr double further_holder_value = 1;
/// Value of a holder that is faster than all others of a layer, times the share of its time that a request
/// saves there. Between the values of a second and a third holder.
constexpr double faster_holder_value = 8;
/// The first engine of a path cannot be replaced within a running stream, so layer 0 gets its second holder
/// first.
constexpr double first_layer_value = 30;
/// Bound of the rounding error between sums of the same values in a different order.
constexpr double value_margin = 1e-9;
/// A layer with fewer holders keeps them all.
constexpr unsigned min_holders_to_release = 2;

/// Value of one more holder of a layer with this number of holders.
double value_of_holder(unsigned holders)
{
    switch (holders) {
    case 0:
        return uncovered_value;
    case 1:
        return second_holder_value;
    default:
        return further_holder_value / holders;
    }
}

} // namespace

layer_coverage::layer_coverage(unsigned layers)
    : holders(layers, 0)
    , costs(layers, std::numeric_limits<double>::infinity())
{
}

void layer_coverage::add_holder(const layer_span& span, double cost)
{
    for (unsigned layer = span.begin; layer < std::min(span.end, this->count()); ++layer) {
        ++this->holders[layer];
        this->costs[layer] = std::min(this->costs[layer], cost);
    }
}

void layer_coverage::remove_holder(const layer_span& span)
{
    for (unsigned layer = span.begin; layer < std::min(span.end, this->count()); ++layer) {
        --this->holders[layer];
    }
}

double layer_coverage::value_of(unsigned layer, double cost) const
{
    const unsigned holder_count = this->holders[layer];
    const double saved = holder_count == 0 ? 0 : std::max(0.0, 1 - cost / this->costs[layer]);
    return value_of_holder(holder_count) + faster_holder_value * saved
        + (layer == 0 && holder_count <= 1 ? first_layer_value : 0);
}

layer_span layer_coverage::find_most_valuable(unsigned size, double cost, unsigned first) const
{
    const unsigned earliest = std::min(first, this->count() - size);
    double sum = 0;
    for (unsigned layer = earliest; layer < earliest + size; ++layer) {
        sum += this->value_of(layer, cost);
    }
    layer_span best{earliest, earliest + size};
    double most = sum;
    for (unsigned begin = earliest + 1; begin + size <= this->count(); ++begin) {
        sum += this->value_of(begin + size - 1, cost) - this->value_of(begin - 1, cost);
        if (sum > most + value_margin) {
            most = sum;
            best = {begin, begin + size};
        }
    }
    return best;
}

layer_span layer_coverage::find_coverage_gap(unsigned begin) const
{
    layer_span gap{begin, begin};
    while (gap.begin < this->count() && this->holders[gap.begin] != 0) {
        ++gap.begin;
    }
    gap.end = gap.begin;
    while (gap.end < this->count() && this->holders[gap.end] == 0) {
        ++gap.end;
    }
    return gap;
}

bool layer_coverage::has_coverage_gap() const
{
    return this->has_coverage_gap_within({0, this->count()});
}

unsigned layer_coverage::count_uncovered() const
{
    return static_cast<unsigned>(std::count(this->holders.begin(), this->holders.end(), 0U));
}

bool layer_coverage::has_coverage_gap_within(const layer_span& span) const
{
    const auto end = this->holders.begin() + std::min(span.end, this->count());
    return std::find(this->holders.begin() + span.begin, end, 0U) != end;
}

bool layer_coverage::keeps_coverage(const layer_span& from, const layer_span& to) const
{
    for (unsigned layer = from.begin; layer < std::min(from.end, this->count()); ++layer) {
        if (!to.holds(layer) && !this->is_spare(layer)) {
            return false;
        }
    }
    return true;
}

bool layer_coverage::is_spare(unsigned layer) const
{
    return this->holders[layer] >= min_holders_to_release;
}

} // namespace sailtiller
