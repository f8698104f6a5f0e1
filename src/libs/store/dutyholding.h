// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <store/storetypes.h>

namespace sailtiller {

/// The duties that a host holds by its membership in a group of the store, and how long it can rely on them.
class duty_holding
{
public:
    /// The store gives the duties of a member that has been silent for that long to others.
    explicit duty_holding(duration silence_limit)
        : silence_limit(silence_limit)
    {
    }

    /// The store answered a join that was sent at `asked`.
    void take(const group_membership& next, time_point asked);
    /// This host has left the group, or stays away from it.
    void release();
    /// The generation under which this host holds the duty; nothing if another may hold it. It lapses with
    /// the silence that the store allows, counted from the last join that was answered: a host that was cut
    /// off from the store went on, and sent six orders 5.2 s after that join, beside the host that held the
    /// duty by then.
    [[nodiscard]] std::optional<group_generation> find(unsigned duty, time_point now) const;
    /// The last generation heard; 0 before the first.
    [[nodiscard]] group_generation generation() const { return this->membership.generation; }

private:
    duration silence_limit;
    group_membership membership;
    std::optional<time_point> confirmed; ///< when the join was sent that was answered last
};

} // namespace sailtiller
