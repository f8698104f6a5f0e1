// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/json.h>
#include <delivery/decisionlog.h>
#include <runtime/httpexchange.h>

namespace sailtiller {

/// A page's status and content, before headers.
struct json_page
{
    int status = 0;
    json body;
};

/// Answers `/explain?request=ID`: the decisions that this host keeps about a request, and how long ago each
/// was.
json_page make_explain_page(
    const http_request& request, const host_id& self, const decision_log& decisions, time_point now);

} // namespace sailtiller
