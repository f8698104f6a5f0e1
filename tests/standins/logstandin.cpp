// SPDX-License-Identifier: Apache-2.0
#include <base/json.h>
#include <standins/logstandin.h>

#include <algorithm>
#include <cstdlib>

namespace sailtiller::standins {

namespace {

constexpr std::size_t most_records_a_page = 200;
constexpr std::string_view streams_prefix = "/v1/streams/";

http_response make_response(int status, std::string body)
{
    return {status, {{"content-type", "application/json"}, {"x-request-id", "standin"}}, std::move(body)};
}

std::uint64_t read_number(const http_request& request, const char* name)
{
    return std::strtoull(request.query_value(name).value_or("0").c_str(), nullptr, 10);
}

} // namespace

log_standin::log_standin(event_loop& loop)
    : loop(loop)
{
}

void log_standin::handle(const std::shared_ptr<http_exchange>& exchange)
{
    const http_request& request = exchange->request();
    const std::string_view route = request.route();
    if (route.starts_with("/control/")) {
        this->control(exchange);
        return;
    }
    if (this->down) {
        exchange->respond(make_response(503, "down"));
        return;
    }
    if (!route.starts_with(streams_prefix)) {
        exchange->respond(make_response(404, "unknown path"));
        return;
    }
    const std::string_view rest = route.substr(streams_prefix.size());
    const std::string name(rest.substr(0, rest.find('/')));
    if (request.method == "POST") {
        this->append(exchange, name);
    } else {
        this->read(exchange, name);
    }
}

void log_standin::control(const std::shared_ptr<http_exchange>& exchange)
{
    const std::string& body = exchange->request().body;
    if (exchange->request().route() == "/control/down") {
        this->down = body == "yes";
    } else if (exchange->request().route() == "/control/lose_answers") {
        this->answers_to_lose = static_cast<std::uint32_t>(std::strtoul(body.c_str(), nullptr, 10));
    } else if (exchange->request().route() == "/control/expire") {
        this->expire(std::strtoul(body.c_str(), nullptr, 10));
    }
    exchange->respond(make_response(200, json({{"appends", this->append_count}}).dump()));
}

void log_standin::append(const std::shared_ptr<http_exchange>& exchange, const std::string& name)
{
    stream& target = this->streams[name];
    target.records.push_back(exchange->request().body);
    ++this->append_count;
    const std::uint64_t offset = target.first + target.records.size() - 1;
    this->wake_readers(name);
    if (this->answers_to_lose > 0) {
        --this->answers_to_lose;
        exchange->respond(make_response(504, "the answer was lost"));
        return;
    }
    exchange->respond(make_response(200, json({{"offset", offset}}).dump()));
}

void log_standin::read(const std::shared_ptr<http_exchange>& exchange, const std::string& name)
{
    const std::uint64_t from = read_number(exchange->request(), "from");
    const std::uint64_t wait = read_number(exchange->request(), "wait_ms");
    stream& source = this->streams[name];
    const bool has_records = from < source.first + source.records.size();
    if (has_records || wait == 0) {
        this->answer_read(exchange, source, from);
        return;
    }
    const std::uint64_t id = ++this->last_waiting;
    waiting_read& entry = this->waiting[id];
    entry = {exchange, name, from, 0};
    entry.timer = this->loop.schedule_after(std::chrono::milliseconds(wait), [this, id] {
        const waiting_read ended = this->waiting[id];
        this->waiting.erase(id);
        this->answer_read(ended.exchange, this->streams[ended.stream], ended.from);
    });
}

void log_standin::answer_read(
    const std::shared_ptr<http_exchange>& exchange, const stream& source, std::uint64_t from)
{
    json records = json::array();
    std::uint64_t offset = std::max(from, source.first);
    const std::uint64_t end = source.first + source.records.size();
    for (; offset < end && records.size() < most_records_a_page; ++offset) {
        records.push_back({{"offset", offset}, {"data", source.records[offset - source.first]}});
    }
    const json page = {{"first_retained", source.first}, {"next", offset}, {"records", records}};
    exchange->respond(make_response(200, page.dump()));
}

void log_standin::wake_readers(const std::string& name)
{
    std::vector<waiting_read> woken;
    for (auto item = this->waiting.begin(); item != this->waiting.end();) {
        if (item->second.stream == name) {
            woken.push_back(item->second);
            item = this->waiting.erase(item);
        } else {
            ++item;
        }
    }
    for (const waiting_read& entry : woken) {
        this->loop.cancel(entry.timer);
        this->answer_read(entry.exchange, this->streams[name], entry.from);
    }
}

void log_standin::expire(std::size_t kept)
{
    for (auto& [name, target] : this->streams) {
        while (target.records.size() > kept) {
            target.records.pop_front();
            ++target.first;
        }
    }
}

} // namespace sailtiller::standins
