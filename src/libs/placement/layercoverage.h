// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <directory/upstreamdirectory.h>

#include <vector>

namespace sailtiller {

/// How a group of halls covers the layers: how many engines hold each, and what it costs on the cheapest.
class layer_coverage
{
public:
    explicit layer_coverage(unsigned layers);

    /// One engine more holds these layers; `cost` is that of each layer there, in milliseconds.
    void add_holder(const layer_span& span, double cost);
    /// One engine less holds these layers. What they cost at least is kept.
    void remove_holder(const layer_span& span);
    /// True if a holder of `from` that goes over to `to` leaves no layer without one.
    [[nodiscard]] bool keeps_coverage(const layer_span& from, const layer_span& to) const;
    /// The `size` layers for which one more holder with this cost of a layer is worth most.
    [[nodiscard]] layer_span find_most_valuable(unsigned size, double cost) const;
    /// The first run of layers from `begin` on that nobody holds; empty if there is none.
    [[nodiscard]] layer_span find_coverage_gap(unsigned begin) const;
    [[nodiscard]] bool has_coverage_gap() const;
    /// True if nobody holds some layer of the span.
    [[nodiscard]] bool has_coverage_gap_within(const layer_span& span) const;
    [[nodiscard]] unsigned holder_count(unsigned layer) const { return this->holders[layer]; }
    /// True if one holder of the layer may give it up.
    [[nodiscard]] bool is_spare(unsigned layer) const;

private:
    [[nodiscard]] unsigned count() const { return static_cast<unsigned>(this->holders.size()); }
    /// Worth of one more holder for this layer, whose cost there is `cost`.
    [[nodiscard]] double value_of(unsigned layer, double cost) const;

    std::vector<unsigned> holders; ///< of each layer
    std::vector<double> costs; ///< of each layer on its cheapest holder, in milliseconds
};

} // namespace sailtiller
