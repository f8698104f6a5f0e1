// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <base/httpstatus.h>
#include <base/json.h>
#include <relay/relaymessages.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace sailtiller {

namespace {

constexpr std::string_view upstream_header = "sailtiller-relay-upstream";
constexpr std::string_view address_header = "sailtiller-relay-address";
constexpr std::string_view request_header = "sailtiller-relay-request";
constexpr std::string_view repeat_header = "sailtiller-relay-may-repeat";
constexpr std::string_view keep_alive_header = "sailtiller-relay-keep-alive";
constexpr std::string_view no_way_header = "sailtiller-relay-no-way";
constexpr std::string_view header_prefix = "sailtiller-relay-";
constexpr std::string_view true_value = "1";
/// Headers of the connection between the hosts, and those that each sender writes anew.
constexpr std::array<std::string_view, 6> connection_headers = {
    "connection", "content-length", "host", "keep-alive", "te", "transfer-encoding"};
/// Guards against a peer that sends no line end. The longest line holds the head of an upstream's answer,
/// each byte of which takes up to six in JSON.
constexpr std::size_t max_line_bytes = std::size_t{512} << 10U;

bool is_for_this_connection(const http_header& header)
{
    return header.name.starts_with(header_prefix)
        || std::find(connection_headers.begin(), connection_headers.end(), header.name)
        != connection_headers.end();
}

std::string require_header(const http_request& message, std::string_view name)
{
    const std::optional<std::string> value = find_header(message.headers, name);
    if (!value || value->empty()) {
        throw error({"read relay request", message.peer.value()}, "no header " + std::string(name));
    }
    return *value;
}

error malformed_answer(const std::string& reason)
{
    return error({"read relay answer", ""}, reason);
}

std::string encode_line(const json& item)
{
    return item.dump(-1, ' ', true, json::error_handler_t::replace) + "\n";
}

json parse_line(std::string_view line)
{
    try {
        return parse_json(line);
    } catch (const json::exception& malformed) {
        throw malformed_answer(malformed.what());
    }
}

relay_head read_head(const json& item)
{
    try {
        relay_head head;
        if (item.contains("failure")) {
            head.failure = item.at("failure").get<std::string>();
            return head;
        }
        head.status = item.at("status").get<int>();
        for (const json& header : item.at("headers")) {
            head.headers.push_back({header.at(0).get<std::string>(), header.at(1).get<std::string>()});
        }
        if (!are_fields(head.headers) || head.status < http_status::first_final
            || head.status > http_status::last) {
            throw malformed_answer("the head of the upstream's answer is none");
        }
        return head;
    } catch (const json::exception& malformed) {
        throw malformed_answer(malformed.what());
    }
}

relay_end read_end(const json& item)
{
    try {
        return {item.at("whole").get<bool>(), item.at("reason").get<std::string>()};
    } catch (const json::exception& malformed) {
        throw malformed_answer(malformed.what());
    }
}

std::size_t decode_length(std::string_view text)
{
    std::size_t length = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, length);
    if (result.ec != std::errc() || result.ptr != end) {
        throw malformed_answer("a part has no length");
    }
    return length;
}

} // namespace

http_request encode_relay_request(const relayed_request& request)
{
    http_request message = request.message;
    const auto add = [&message](std::string_view name, std::string value) {
        message.headers.push_back({std::string(name), std::move(value)});
    };
    add(upstream_header, request.target.id.value());
    add(address_header, request.target.address.value());
    if (!request.target.request.value().empty()) {
        add(request_header, request.target.request.value());
    }
    if (request.may_repeat) {
        add(repeat_header, std::string(true_value));
    }
    if (request.takes_keep_alive) {
        add(keep_alive_header, std::string(true_value));
    }
    return message;
}

relayed_request decode_relay_request(const http_request& message)
{
    relayed_request request;
    request.target.id = upstream_id(require_header(message, upstream_header));
    request.target.address = endpoint(require_header(message, address_header));
    request.target.request = request_id(find_header(message.headers, request_header).value_or(""));
    request.may_repeat = find_header(message.headers, repeat_header) == true_value;
    request.takes_keep_alive = announces_keep_alive(message.headers);
    request.message.method = message.method;
    request.message.path = message.path;
    request.message.body = message.body;
    request.message.headers.push_back({"host", message.authority});
    std::copy_if(message.headers.begin(), message.headers.end(), std::back_inserter(request.message.headers),
        [](const http_header& header) { return !is_for_this_connection(header); });
    return request;
}

http_header make_keep_alive_header()
{
    return {std::string(keep_alive_header), std::string(true_value)};
}

bool announces_keep_alive(const http_headers& headers)
{
    return find_header(headers, keep_alive_header) == true_value;
}

http_header make_no_way_header()
{
    return {std::string(no_way_header), std::string(true_value)};
}

bool tells_no_way(const http_headers& headers)
{
    return find_header(headers, no_way_header) == true_value;
}

std::string encode_relay_head(const relay_head& head)
{
    json line;
    if (head.failure) {
        line["failure"] = *head.failure;
    } else {
        line["status"] = head.status;
        line["headers"] = json::array();
        for (const http_header& header : head.headers) {
            line["headers"].push_back(json::array({header.name, header.value}));
        }
    }
    return encode_line(line);
}

std::string encode_relay_body(std::string_view bytes)
{
    std::string part = std::to_string(bytes.size()) + "\n";
    part += bytes;
    return part;
}

std::string encode_relay_end(const relay_end& end)
{
    json line;
    line["whole"] = end.is_whole;
    line["reason"] = end.reason;
    return encode_line(line);
}

relay_answer_part relay_answer_reader::take(std::string_view bytes)
{
    relay_answer_part part;
    while (!bytes.empty()) {
        if (this->left_of_part > 0) {
            const std::string_view body = bytes.substr(0, this->left_of_part);
            part.body += body;
            this->left_of_part -= body.size();
            bytes.remove_prefix(body.size());
        } else if (const std::optional<std::string> text = this->take_line(bytes)) {
            this->read_line(*text, part);
        }
    }
    return part;
}

std::optional<std::string> relay_answer_reader::take_line(std::string_view& bytes)
{
    if (!this->is_accepted && !bytes.starts_with(relay_accepted_line)) {
        throw malformed_answer("it doesn't begin with an empty line");
    }
    const std::size_t end = bytes.find('\n');
    this->line += bytes.substr(0, end);
    if (this->line.size() > max_line_bytes) {
        throw malformed_answer("a line is too long");
    }
    if (end == std::string_view::npos) {
        bytes = {};
        return std::nullopt;
    }
    bytes.remove_prefix(end + 1);
    return std::exchange(this->line, {});
}

void relay_answer_reader::read_line(std::string_view text, relay_answer_part& part)
{
    if (this->has_ended) {
        throw malformed_answer("it goes on after its end");
    }
    if (!this->is_accepted) {
        this->is_accepted = true;
        return;
    }
    if (text == relay_keep_alive_line.substr(0, relay_keep_alive_line.size() - 1)) {
        return;
    }
    if (this->has_head && !text.starts_with('{')) {
        this->left_of_part = decode_length(text);
        return;
    }
    const json item = parse_line(text);
    if (item.contains("whole")) {
        part.end = read_end(item);
        if (part.end->is_whole && !this->has_head) {
            throw malformed_answer("it is whole without a head");
        }
        this->has_ended = true;
        return;
    }
    if (this->has_head) {
        throw malformed_answer("it has two heads");
    }
    part.head = read_head(item);
    this->has_head = true;
    this->has_ended = part.head->failure.has_value();
}

} // namespace sailtiller
