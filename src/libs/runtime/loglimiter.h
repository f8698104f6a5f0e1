// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <map>
#include <string>
#include <string_view>

namespace sailtiller {

/// How many lines of one event are written. At 12 requests a second (4,800 over 400 hosts) and up to four
/// lines each, nothing is left out; a storm of one event leaves the others alone.
struct log_limit
{
    double lines_per_second = 60;
    double burst = 200;
};

/// Bounds the lines of each event by itself, and counts what is left out.
class log_limiter
{
public:
    explicit log_limiter(log_limit limit)
        : limit(limit)
    {
    }

    struct verdict
    {
        bool may_write = false;
        std::uint64_t left_out = 0; ///< lines of this event since the last that was written
    };

    /// Asks for one line of an event.
    verdict ask(std::string_view event, time_point now);

private:
    struct bucket
    {
        double lines = 0;
        time_point filled{};
        std::uint64_t left_out = 0;
    };

    log_limit limit;
    std::map<std::string, bucket, std::less<>> buckets;
};

} // namespace sailtiller
