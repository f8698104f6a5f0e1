// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <store/storetypes.h>

#include <set>

namespace sailtiller {

/// Puts the pages of a topic's newest records together, and ends a reading that can't come to an end: of
/// pages that repeat, or of more than a host can keep.
class page_collector
{
public:
    /// `max_bytes` bounds the sum of keys and values.
    explicit page_collector(std::size_t max_bytes)
        : max_bytes(max_bytes)
    {
    }

    /// Adds the page that was asked for last. Returns the reason if the reading has to end.
    std::optional<std::string> add(const newest_page& page);
    /// The key after which the next page begins; empty before the first page and after the last.
    [[nodiscard]] const std::optional<std::string>& continue_after() const
    {
        return this->gathered.continue_after;
    }
    [[nodiscard]] const newest_page& all() const { return this->gathered; }

private:
    std::size_t max_bytes;
    newest_page gathered;
    std::size_t bytes = 0;
    std::set<std::string> page_ends; ///< the last key of each page so far
};

} // namespace sailtiller
