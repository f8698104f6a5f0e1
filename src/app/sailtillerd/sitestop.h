// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "siterelay.h"

#include <gateway/gatewayservice.h>
#include <runtime/httpserver.h>
#include <runtime/periodictask.h>

namespace sailtiller {

/// The planned stop of a site's host: it goes on serving until the balancer has noticed, takes nothing more,
/// and ends once every answer is out, or shortly before the platform would kill the process.
class site_stop
{
public:
    /// `announce` tells others that this host leaves. The loop is stopped at the end.
    site_stop(event_loop& loop, http_server& callers, gateway_service& gateway, site_relay& relay,
        std::function<void()> announce);

    /// Begins, unless it has begun already. Connections are refused after `grace`; by `longest` the process
    /// has ended.
    void begin(duration grace, duration longest);
    [[nodiscard]] bool is_under_way() const { return this->has_begun; }
    /// For the process, once the loop has stopped: a failure if answers were cut off.
    [[nodiscard]] int exit_code() const { return this->code; }

private:
    void finish_when_idle();
    /// Stops the loop once every connection has ended, or the time for it has.
    void end_when_answers_are_out();

    event_loop& loop;
    http_server& callers;
    gateway_service& gateway;
    site_relay& relay;
    std::function<void()> announce;
    bool has_begun = false;
    time_point limit{};
    time_point last_answers_end{};
    std::size_t cut_off = 0; ///< answers that the stop didn't wait for
    int code = 0;
    periodic_task idle_looks;
    periodic_task last_looks;
};

} // namespace sailtiller
