// SPDX-License-Identifier: Apache-2.0
#include "explainpage.h"

#include <base/httpstatus.h>

namespace sailtiller {

namespace {

json write_decision(const decision& item, time_point now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - item.at);
    return {{"ms_ago", age.count()}, {"step", item.step}, {"peer", item.peer}, {"reason", item.reason}};
}

} // namespace

json_page make_explain_page(
    const http_request& request, const host_id& self, const decision_log& decisions, time_point now)
{
    const std::optional<std::string> id = request.query_value("request");
    if (!id) {
        return {http_status::bad_request, {{"error", "say which request: /explain?request=ID"}}};
    }
    const std::vector<decision>* found = decisions.find(request_id(*id));
    if (found == nullptr) {
        return {http_status::not_found, {{"error", "this host keeps no record of that request"}}};
    }
    json list = json::array();
    for (const decision& item : *found) {
        list.push_back(write_decision(item, now));
    }
    return {http_status::ok, {{"host", self.value()}, {"request", *id}, {"decisions", list}}};
}

} // namespace sailtiller
