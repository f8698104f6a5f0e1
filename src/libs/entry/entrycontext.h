// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/decisionlog.h>
#include <engines/engineclient.h>
#include <engines/serviceclient.h>
#include <entry/servingstate.h>
#include <fleet/shareclient.h>
#include <routing/retrybudget.h>
#include <runtime/eventlog.h>
#include <runtime/httpexchange.h>
#include <runtime/metrics.h>

namespace sailtiller {

/// Objects shared by all requests of a host. Outlives every exchange.
struct entry_context
{
    timer_hooks timers;
    std::function<std::int64_t()> unix_seconds; ///< wall-clock time, only for the `created` field of answers
    random_function random;
    engine_client& engines;
    service_client& services;
    host_metrics& metrics;
    decision_log& decisions;
    share_client& shares;
    retry_budget& retries;
};

/// An authenticated request: the account, the bundle under which it started, and the headers of all its
/// answers.
struct admitted_request
{
    request_id id;
    std::shared_ptr<http_exchange> exchange;
    std::shared_ptr<const serving_state> state;
    client_account account;
    http_headers answer_headers;
    bool is_repeatable = true;
    time_point started_at{};
};

} // namespace sailtiller
