// SPDX-License-Identifier: Apache-2.0
#include <bundle/digest.h>
#include <standins/platformstore.h>

namespace sailtiller::standins {

namespace {

constexpr unsigned duty_count = 12;

std::string big_endian(std::uint64_t number, std::size_t size)
{
    std::string bytes(size, '\0');
    for (std::size_t index = size; index-- > 0;) {
        bytes[index] = static_cast<char>(number & 0xffU);
        number >>= 8U;
    }
    return bytes;
}

std::uint64_t from_big_endian(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (const char byte : bytes) {
        number = (number << 8U) | static_cast<unsigned char>(byte);
    }
    return number;
}

} // namespace

void platform_store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    topic_state& state = this->topics[topic];
    state.records.push_back({key, value});
    if (value.empty()) {
        state.newest.erase(key);
    } else {
        state.newest[key] = value;
    }
    std::vector<waiting_read> still;
    for (waiting_read& item : this->waiting) {
        if (item.topic != topic) {
            still.push_back(item);
            continue;
        }
        this->loop.cancel(item.timer);
        this->answer_read(item.exchange, item.topic, item.from);
    }
    this->waiting = std::move(still);
}

struct platform_store::copy
{
    std::map<std::string, topic_state> topics;
    std::uint64_t generation = 0;
};

std::shared_ptr<const platform_store::copy> platform_store::take_copy() const
{
    return std::make_shared<const copy>(copy{this->topics, this->generation});
}

void platform_store::restore(const copy& from)
{
    ++this->era;
    this->topics = from.topics;
    this->generation = from.generation;
    this->members.clear();
    const std::vector<waiting_read> cut = std::move(this->waiting);
    this->waiting.clear();
    for (const waiting_read& item : cut) {
        this->loop.cancel(item.timer);
        this->respond(item.exchange, {503, {}, "busy"});
    }
}

void platform_store::respond(const std::shared_ptr<http_exchange>& exchange, http_response answer) const
{
    answer.headers.push_back({"store-era", std::to_string(this->era)});
    exchange->respond(answer);
}

void platform_store::respond_json(const std::shared_ptr<http_exchange>& exchange, const json& body) const
{
    this->respond(exchange, {200, {{"content-type", "application/json"}}, body.dump()});
}

void platform_store::compact(const std::string& topic)
{
    topic_state& state = this->topics[topic];
    state.first += state.records.size();
    state.records.clear();
}

void platform_store::handle(const std::shared_ptr<http_exchange>& exchange, const bool& is_open)
{
    ++this->call_count;
    const std::string route(exchange->request().route());
    if (!is_open) {
        this->respond(exchange, {503, {}, "busy"});
    } else if (route == "/api/log-read") {
        this->read(exchange);
    } else if (route == "/api/log-newest") {
        this->newest(exchange);
    } else if (route == "/api/log-append") {
        this->append(exchange);
    } else if (route == "/api/log-join") {
        this->join(exchange);
    } else if (route == "/api/log-leave") {
        this->leave(exchange);
    } else {
        this->respond(exchange, {404, {}, ""});
    }
}

void platform_store::answer_read(
    const std::shared_ptr<http_exchange>& exchange, const std::string& topic, std::uint64_t from)
{
    const topic_state& state = this->topics[topic];
    const std::uint64_t end = state.first + state.records.size();
    if (from < state.first || from > end) {
        this->respond(exchange, {410, {}, json({{"first", state.first}}).dump()});
        return;
    }
    std::string body = big_endian(end, 8) + big_endian(state.first, 8);
    for (std::uint64_t offset = from; offset < end; ++offset) {
        const record& item = state.records[offset - state.first];
        const std::string content = big_endian(item.key.size(), 1) + item.key + item.value;
        body += big_endian(content.size(), 4) + content;
    }
    this->respond(exchange, {200, {}, body});
}

void platform_store::read(const std::shared_ptr<http_exchange>& exchange)
{
    const http_request& request = exchange->request();
    const std::string topic = *request.query_value("topic");
    const std::uint64_t from = std::stoull(*request.query_value("from"));
    const topic_state& state = this->topics[topic];
    const std::uint64_t wait = std::stoull(request.query_value("wait-ms").value_or("0"));
    if (wait == 0 || from != state.first + state.records.size()) {
        this->answer_read(exchange, topic, from);
        return;
    }
    waiting_read item{exchange, topic, from, 0};
    item.timer = this->loop.schedule_after(std::chrono::milliseconds(wait), [this, exchange, topic, from] {
        std::erase_if(this->waiting, [&](const waiting_read& read) { return read.exchange == exchange; });
        this->answer_read(exchange, topic, from);
    });
    this->waiting.push_back(std::move(item));
}

void platform_store::newest(const std::shared_ptr<http_exchange>& exchange)
{
    const http_request& request = exchange->request();
    const topic_state& state = this->topics[*request.query_value("topic")];
    const std::string after = request.query_value("after").value_or("");
    constexpr std::size_t page_size = 2; // small, so that pages are always needed
    json items = json::array();
    bool has_more = false;
    for (auto item = state.newest.upper_bound(after); item != state.newest.end(); ++item) {
        if (items.size() == page_size) {
            has_more = true;
            break;
        }
        items.push_back({{"tls-key", item->first}, {"value", to_base64(item->second)}, {"offset", 0}});
    }
    this->respond_json(
        exchange, {{"items", items}, {"more", has_more}, {"end", state.first + state.records.size()}});
}

void platform_store::append(const std::shared_ptr<http_exchange>& exchange)
{
    const http_request& request = exchange->request();
    const std::string topic = *request.query_value("topic");
    if (topic == "keyed.servers" || topic == "keyed.op") {
        this->respond(exchange, {403, {}, ""});
        return;
    }
    const topic_state& state = this->topics[topic];
    const std::uint64_t end = state.first + state.records.size();
    if (const auto at = request.query_value("at"); at && std::stoull(*at) != end) {
        this->respond(exchange, {412, {}, json({{"end", end}}).dump()});
        return;
    }
    std::string_view body = request.body.text();
    std::uint64_t count = 0;
    while (!body.empty()) {
        const std::size_t size = from_big_endian(body.substr(0, 4));
        const std::string_view content = body.substr(4, size);
        const std::size_t key_size = from_big_endian(content.substr(0, 1));
        this->put(topic, std::string(content.substr(1, key_size)), std::string(content.substr(1 + key_size)));
        body = body.substr(4 + size);
        ++count;
    }
    this->respond_json(exchange, {{"offset", end}, {"end", end + count}});
}

void platform_store::drop_silent_members()
{
    const std::size_t dropped = std::erase_if(this->members, [this](const auto& item) {
        return this->loop.now() - item.second.heard > item.second.silence_limit;
    });
    this->generation += dropped > 0 ? 1 : 0;
}

void platform_store::join(const std::shared_ptr<http_exchange>& exchange)
{
    const json body = json::parse(exchange->request().body.text());
    this->drop_silent_members();
    const auto [place, is_new] = this->members.try_emplace(body.at("member").get<std::string>());
    this->generation += is_new ? 1 : 0;
    place->second = {
        this->generation, this->loop.now(), std::chrono::milliseconds(body.at("ttl_ms").get<int>())};
    json parts = json::array();
    const auto rank = static_cast<std::size_t>(std::distance(this->members.begin(), place));
    for (unsigned duty = 0; duty < duty_count; ++duty) {
        if (duty % this->members.size() == rank) {
            parts.push_back(json::array({body.at("topics").at(0), duty, 0}));
        }
    }
    this->respond_json(
        exchange, {{"generation", this->generation}, {"ttl_ms", body.at("ttl_ms")}, {"parts", parts}});
}

void platform_store::leave(const std::shared_ptr<http_exchange>& exchange)
{
    const json body = json::parse(exchange->request().body.text());
    this->generation += this->members.erase(body.at("member").get<std::string>());
    this->respond_json(exchange, json::object());
}

} // namespace sailtiller::standins
