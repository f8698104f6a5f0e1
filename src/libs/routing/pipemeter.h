// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <map>

namespace sailtiller {

/// Estimates how far the pipes between halls are used, from what this host's requests sent through them
/// lately and the number of hosts that do about the same.
class pipe_meter
{
public:
    /// Older use counts less and less; a pipe that stands still is empty after a few of these.
    static constexpr duration memory = std::chrono::milliseconds(500);

    /// Hosts that send about as much as this one.
    void set_live_hosts(std::size_t count) { this->live_hosts = count == 0 ? 1 : count; }
    /// A request moved that many bits from one hall to the other.
    void note(const data_hall_id& from, const data_hall_id& to, double bits, time_point now);
    /// Share of the pipe's rate in use, over all hosts.
    [[nodiscard]] double utilization(
        const data_hall_id& from, const data_hall_id& to, double bits_per_second, time_point now) const;

private:
    struct use
    {
        double bits = 0;
        time_point at{};
    };
    using hall_pair = std::pair<data_hall_id, data_hall_id>;

    /// The pipe is shared by both directions.
    static hall_pair pair_of(const data_hall_id& from, const data_hall_id& to);
    static double decayed(const use& item, time_point now);

    std::map<hall_pair, use> uses;
    std::size_t live_hosts = 1;
};

} // namespace sailtiller
