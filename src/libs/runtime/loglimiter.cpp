// SPDX-License-Identifier: Apache-2.0
#include <runtime/loglimiter.h>

#include <algorithm>
#include <utility>

namespace sailtiller {

log_limiter::verdict log_limiter::ask(std::string_view event, time_point now)
{
    auto found = this->buckets.find(event);
    if (found == this->buckets.end()) {
        found = this->buckets.emplace(std::string(event), bucket{this->limit.burst, now, 0}).first;
    }
    bucket& item = found->second;
    const std::chrono::duration<double> passed = now - item.filled;
    item.lines = std::min(this->limit.burst, item.lines + passed.count() * this->limit.lines_per_second);
    item.filled = now;
    if (item.lines < 1) {
        ++item.left_out;
        return {false, 0};
    }
    item.lines -= 1;
    return {true, std::exchange(item.left_out, 0)};
}

} // namespace sailtiller
