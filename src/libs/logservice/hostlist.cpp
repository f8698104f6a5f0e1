// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <base/json.h>
#include <logservice/hostlist.h>
#include <runtime/timedcall.h>

#include <algorithm>
#include <iterator>

namespace sailtiller {

namespace {

constexpr duration answer_limit = std::chrono::seconds(2);

listed_host read_entry(const json& text)
{
    listed_host entry;
    entry.name = text.at("name").get<std::string>();
    entry.peer_address = endpoint(text.value("peer_address", ""));
    entry.data_hall = data_hall_id(text.value("data_hall", ""));
    entry.is_upstream = text.value("kind", "host") == "upstream";
    entry.state = text.value("state", "live") == "leaving" ? listed_state::leaving : listed_state::live;
    return entry;
}

} // namespace

host_list::host_list(event_loop& loop, http_client& client, endpoint address, duration interval,
    std::function<void()> on_change, std::function<void(const error&)> on_failure)
    : loop(loop)
    , client(client)
    , address(std::move(address))
    , interval(interval)
    , on_change(std::move(on_change))
    , on_failure(std::move(on_failure))
{
}

void host_list::start()
{
    this->read();
}

void host_list::read()
{
    this->loop.schedule_after(this->interval, [this] { this->read(); });
    const error_origin origin{"read host list", this->address.value()};
    http_request request;
    request.method = "GET";
    request.path = "/v1/hosts";
    if (!this->version.empty()) {
        request.headers.push_back({"if-none-match", this->version});
    }
    send_timed(
        this->loop, this->client, {this->address, request, answer_limit, origin},
        [this](const http_response& answer) { this->take(answer); }, this->on_failure);
}

void host_list::take(const http_response& answer)
{
    const bool is_unchanged = answer.status == http_status::not_modified || answer.body == this->last_body;
    if (is_unchanged && this->has_been_read) {
        return;
    }
    std::vector<listed_host> entries;
    try {
        const json document = parse_json(answer.body); // must outlive the loop over a part of it
        for (const json& item : document.at("hosts")) {
            entries.push_back(read_entry(item));
        }
    } catch (const json::exception& malformed) {
        throw error({"read host list", this->address.value()}, malformed.what());
    }
    this->last_body = answer.body;
    this->version = find_header(answer.headers, "etag").value_or("");
    this->listed = std::move(entries);
    this->live.clear();
    std::copy_if(this->listed.begin(), this->listed.end(), std::back_inserter(this->live),
        [](const listed_host& entry) { return !entry.is_upstream && entry.state == listed_state::live; });
    this->has_been_read = true;
    this->on_change();
}

} // namespace sailtiller
