// SPDX-License-Identifier: Apache-2.0
#include "adminservice.h"

#include "explainpage.h"

#include <base/httpstatus.h>

namespace sailtiller {

namespace {

http_response make_response(int status, std::string body, const char* type)
{
    return {status, {{"content-type", type}, {"x-request-id", "admin"}}, std::move(body)};
}

http_response make_json(int status, const json& body)
{
    return make_response(
        status, body.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
}

} // namespace

void admin_service::handle(const std::shared_ptr<http_exchange>& exchange) const
{
    exchange->respond(this->answer(exchange->request()));
}

http_response admin_service::answer(const http_request& request) const
{
    const std::string_view route = request.route();
    if (route == "/healthz") {
        return make_response(http_status::ok, "alive\n", "text/plain");
    }
    if (route == "/readyz") {
        return this->readiness();
    }
    if (route == "/metrics") {
        return make_response(http_status::ok, this->view.metrics.write(), "text/plain; version=0.0.4");
    }
    if (route == "/metrics/accounts") {
        return make_response(http_status::ok,
            this->view.metrics.write_accounts(request.query_value("account")), "text/plain; version=0.0.4");
    }
    if (route == "/status") {
        return this->status();
    }
    if (route == "/explain") {
        return this->explain(request);
    }
    return make_response(http_status::not_found,
        "unknown page; there are /healthz, /readyz, /metrics, /metrics/accounts?account=NAME, /status and "
        "/explain?request=ID\n",
        "text/plain");
}

http_response admin_service::readiness() const
{
    if (this->view.is_ready()) {
        return make_response(http_status::ok, "ready\n", "text/plain");
    }
    const char* reason = this->view.is_stopping() ? "stopping\n" : "no bundle in force yet\n";
    return make_response(http_status::unavailable, reason, "text/plain");
}

http_response admin_service::status() const
{
    const follower_status follower = this->view.follower.status();
    const std::shared_ptr<const bundle_in_force>& applied = this->view.follower.in_force();
    return make_json(http_status::ok,
        {
            {"host", this->view.self.value()},
            {"data_hall", this->view.data_hall.value()},
            {"ready", this->view.is_ready()},
            {"stopping", this->view.is_stopping()},
            {"requests_in_flight", this->view.requests_in_flight()},
            {"generation", follower.applied_generation.value()},
            {"known_generation", follower.known_generation.value()},
            {"activation", applied ? applied->source.id.value() : ""},
            {"bundle", applied ? applied->content.name : ""},
            {"log_reachable", follower.is_log_reachable},
            {"log_complete", follower.is_complete},
            {"log_offset", follower.next_offset.value()},
            {"missing_parts", follower.missing_parts},
            {"failure", follower.failure},
        });
}

http_response admin_service::explain(const http_request& request) const
{
    const json_page page =
        make_explain_page(request, this->view.self, this->view.decisions, this->view.now());
    return make_json(page.status, page.body);
}

} // namespace sailtiller
