// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <directory/upstreamdirectory.h>

#include <vector>

namespace sailtiller {

/// Number of holders of each layer in a group of halls, and the cost of the layer on its cheapest holder.
class layer_coverage
{
public:
    explicit layer_coverage(unsigned layers);

    /// Adds a holder of the span. `cost` is the cost of each layer there, in milliseconds.
    void add_holder(const layer_span& span, double cost);
    /// Removes a holder of the span. The lowest costs of the layers are kept.
    void remove_holder(const layer_span& span);
    /// True if no layer loses its last holder when a holder of `from` moves to `to`.
    [[nodiscard]] bool keeps_coverage(const layer_span& from, const layer_span& to) const;
    /// Span of `size` layers, from `first` on, for which one more holder with this cost per layer has the
    /// highest value.
    [[nodiscard]] layer_span find_most_valuable(unsigned size, double cost, unsigned first = 0) const;
    /// First coverage gap at or after `begin`; empty if there is none.
    [[nodiscard]] layer_span find_coverage_gap(unsigned begin) const;
    [[nodiscard]] bool has_coverage_gap() const;
    /// Number of layers without a holder.
    [[nodiscard]] unsigned count_uncovered() const;
    /// True if some layer of the span has no holder.
    [[nodiscard]] bool has_coverage_gap_within(const layer_span& span) const;
    [[nodiscard]] unsigned holder_count(unsigned layer) const { return this->holders[layer]; }
    /// True if the layer keeps a holder when one of its holders releases it.
    [[nodiscard]] bool is_spare(unsigned layer) const;

private:
    [[nodiscard]] unsigned count() const { return static_cast<unsigned>(this->holders.size()); }
    /// Value of one more holder of the layer with this cost, in milliseconds.
    [[nodiscard]] double value_of(unsigned layer, double cost) const;

    std::vector<unsigned> holders; ///< number of holders of each layer
    std::vector<double> costs; ///< cost of each layer on its cheapest holder, in milliseconds
};

} // namespace sailtiller
