// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/decisionlog.h>
#include <fleet/bundlefollower.h>
#include <runtime/httpexchange.h>
#include <runtime/metrics.h>

namespace sailtiller {

/// What the admin address shows; gathered by the process.
struct admin_view
{
    host_id self;
    data_hall_id data_hall;
    const bundle_follower& follower;
    const host_metrics& metrics;
    const decision_log& decisions;
    std::function<bool()> is_ready;
    std::function<bool()> is_stopping;
    std::function<std::size_t()> requests_in_flight;
    std::function<time_point()> now;
};

/// The read-only pages for balancers and operators: /healthz, /readyz, /metrics, /status and /explain.
class admin_service
{
public:
    explicit admin_service(admin_view view)
        : view(std::move(view))
    {
    }

    void handle(const std::shared_ptr<http_exchange>& exchange) const;

private:
    [[nodiscard]] http_response answer(const http_request& request) const;
    [[nodiscard]] http_response readiness() const;
    [[nodiscard]] http_response status() const;
    [[nodiscard]] http_response explain(const http_request& request) const;

    admin_view view;
};

} // namespace sailtiller
