// SPDX-License-Identifier: Apache-2.0
#include <base/json.h>
#include <logservice/logclient.h>
#include <runtime/timedcall.h>

namespace sailtiller {

namespace {

log_page read_page(const std::string& body, const error_origin& origin)
{
    try {
        const json text = parse_json(body);
        log_page page;
        page.first_retained = log_offset(text.at("first_retained").get<std::uint64_t>());
        page.next = log_offset(text.at("next").get<std::uint64_t>());
        for (const json& item : text.at("records")) {
            page.entries.push_back(
                {log_offset(item.at("offset").get<std::uint64_t>()), item.at("data").get<std::string>()});
        }
        return page;
    } catch (const json::exception& malformed) {
        throw error(origin, std::string("malformed answer: ") + malformed.what());
    }
}

log_offset read_offset(const std::string& body, const error_origin& origin)
{
    try {
        return log_offset(parse_json(body).at("offset").get<std::uint64_t>());
    } catch (const json::exception& malformed) {
        throw error(origin, std::string("malformed answer: ") + malformed.what());
    }
}

} // namespace

log_hooks make_log_hooks(event_loop& loop, http_client& client, const log_client_settings& settings)
{
    const std::string path = "/v1/streams/" + settings.stream + "/records";
    log_hooks hooks;
    hooks.append = [&loop, &client, settings, path](const std::string& data,
                       std::function<void(log_offset)> on_done,
                       std::function<void(const error&)> on_failure) {
        const error_origin origin{"append to log", settings.address.value()};
        http_request request{
            .method = "POST", .path = path, .headers = {}, .body = data, .protocol = {}, .peer = {}};
        send_timed(
            loop, client, {settings.address, request, settings.append_time, origin},
            [on_done, origin](const http_response& answer) { on_done(read_offset(answer.body, origin)); },
            on_failure);
    };
    hooks.read = [&loop, &client, settings, path](log_offset from, duration wait,
                     std::function<void(log_page)> on_page, std::function<void(const error&)> on_failure) {
        const error_origin origin{"read log", settings.address.value()};
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
        const std::string query =
            "?from=" + std::to_string(from.value()) + "&wait_ms=" + std::to_string(milliseconds);
        http_request request{
            .method = "GET", .path = path + query, .headers = {}, .body = {}, .protocol = {}, .peer = {}};
        send_timed(
            loop, client, {settings.address, request, wait + settings.read_slack, origin},
            [on_page, origin](const http_response& answer) { on_page(read_page(answer.body, origin)); },
            on_failure);
    };
    return hooks;
}

} // namespace sailtiller
