// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <fleet/suspectid.h>

#include <map>
#include <optional>

namespace sailtiller {

/// Parts of prompts that passed the beginning of a stream on this host lately, each with its last time.
/// Bounded: two generations of `generation_time`, each with `max_parts`.
class pass_history
{
public:
    static constexpr duration generation_time = std::chrono::seconds(10);
    /// Parts that come so rarely that a full generation leaves them out count as not seen.
    static constexpr std::size_t max_parts = 2048;

    void note(const suspect_id& part, time_point now);
    /// Returns when the part passed last, if that is remembered.
    [[nodiscard]] std::optional<time_point> last_pass(const suspect_id& part) const;
    [[nodiscard]] std::size_t size() const { return this->current.size() + this->previous.size(); }

private:
    std::map<suspect_id, time_point> current;
    std::map<suspect_id, time_point> previous;
    time_point current_since{};
};

} // namespace sailtiller
