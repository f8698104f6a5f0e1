// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <map>

namespace sailtiller {

/// Estimates the utilization of the pipes between data halls from the recent traffic of this host's requests
/// and the number of hosts, which are assumed to cause about the same traffic each.
class pipe_meter
{
public:
    /// Time constant of the exponential decay of past traffic.
    static constexpr duration decay_time = std::chrono::milliseconds(500);

    /// Sets the number of live hosts, this one included.
    void set_live_hosts(std::size_t count) { this->live_hosts = count == 0 ? 1 : count; }
    /// Records a transfer between two data halls.
    void note(const data_hall_id& from, const data_hall_id& to, double bits, time_point now);
    /// Returns the share of the pipe's rate in use by all hosts; 0 without a known rate.
    [[nodiscard]] double utilization(
        const data_hall_id& from, const data_hall_id& to, double bits_per_second, time_point now) const;

private:
    struct traffic
    {
        double bits = 0;
        time_point at{};
    };
    using hall_pair = std::pair<data_hall_id, data_hall_id>;

    /// Returns the key of a pipe, the same for both directions, which share its rate.
    static hall_pair pair_of(const data_hall_id& from, const data_hall_id& to);
    static double decayed(const traffic& item, time_point now);

    std::map<hall_pair, traffic> recent_traffic;
    std::size_t live_hosts = 1;
};

} // namespace sailtiller
