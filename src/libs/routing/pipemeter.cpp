// SPDX-License-Identifier: Apache-2.0
#include <routing/pipemeter.h>

#include <algorithm>
#include <cmath>

namespace sailtiller {

pipe_meter::hall_pair pipe_meter::pair_of(const data_hall_id& from, const data_hall_id& to)
{
    return std::minmax(from, to);
}

double pipe_meter::decayed(const traffic& item, time_point now)
{
    const std::chrono::duration<double> age = now - item.at;
    const std::chrono::duration<double> span = decay_time;
    return item.bits * std::exp(-std::max(0.0, age / span));
}

void pipe_meter::note(const data_hall_id& from, const data_hall_id& to, double bits, time_point now)
{
    traffic& item = this->recent_traffic[pair_of(from, to)];
    item = {decayed(item, now) + bits, now};
}

double pipe_meter::utilization(
    const data_hall_id& from, const data_hall_id& to, double bits_per_second, time_point now) const
{
    const auto found = this->recent_traffic.find(pair_of(from, to));
    if (found == this->recent_traffic.end() || bits_per_second <= 0) {
        return 0;
    }
    const std::chrono::duration<double> window = decay_time;
    const double rate = decayed(found->second, now) / window.count();
    return rate * static_cast<double>(this->live_hosts) / bits_per_second;
}

} // namespace sailtiller
