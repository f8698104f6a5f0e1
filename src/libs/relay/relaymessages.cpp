// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <base/json.h>
#include <relay/relaymessages.h>

#include <algorithm>
#include <array>

namespace sailtiller {

namespace {

constexpr std::string_view upstream_header = "sailtiller-relay-upstream";
constexpr std::string_view address_header = "sailtiller-relay-address";
constexpr std::string_view request_header = "sailtiller-relay-request";
constexpr std::string_view repeat_header = "sailtiller-relay-may-repeat";
constexpr std::string_view header_prefix = "sailtiller-relay-";
constexpr std::string_view true_value = "1";
/// Headers of the connection between the hosts, and those that each sender writes anew.
constexpr std::array<std::string_view, 6> connection_headers = {
    "connection", "content-length", "host", "keep-alive", "te", "transfer-encoding"};
/// Guards against a peer that sends no line end.
constexpr std::size_t max_line_bytes = 256U << 10U;

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
    return message;
}

relayed_request decode_relay_request(const http_request& message)
{
    relayed_request request;
    request.target.id = upstream_id(require_header(message, upstream_header));
    request.target.address = endpoint(require_header(message, address_header));
    request.target.request = request_id(find_header(message.headers, request_header).value_or(""));
    request.may_repeat = find_header(message.headers, repeat_header) == true_value;
    request.message.method = message.method;
    request.message.path = message.path;
    request.message.body = message.body;
    request.message.headers.push_back({"host", message.authority});
    std::copy_if(message.headers.begin(), message.headers.end(), std::back_inserter(request.message.headers),
        [](const http_header& header) { return !is_for_this_connection(header); });
    return request;
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
    return line.dump(-1, ' ', true, json::error_handler_t::replace) + "\n";
}

relay_head decode_relay_head(std::string_view line)
{
    try {
        const json item = json::parse(line);
        relay_head head;
        if (item.contains("failure")) {
            head.failure = item.at("failure").get<std::string>();
            return head;
        }
        head.status = item.at("status").get<int>();
        for (const json& header : item.at("headers")) {
            head.headers.push_back({header.at(0).get<std::string>(), header.at(1).get<std::string>()});
        }
        return head;
    } catch (const json::exception& malformed) {
        throw error({"read relay answer", ""}, malformed.what());
    }
}

std::optional<relay_head> relay_answer_reader::take(std::string_view bytes, std::string& body)
{
    body.clear();
    if (this->is_head_read) {
        body = bytes;
        return std::nullopt;
    }
    this->line += bytes;
    if (!this->is_accepted && !this->line.empty()) {
        if (!this->line.starts_with(relay_accepted_line)) {
            throw error({"read relay answer", ""}, "it doesn't begin with an empty line");
        }
        this->line.erase(0, relay_accepted_line.size());
        this->is_accepted = true;
    }
    const std::size_t end = this->line.find('\n');
    if (end == std::string::npos) {
        if (this->line.size() > max_line_bytes) {
            throw error({"read relay answer", ""}, "the line of its head is too long");
        }
        return std::nullopt;
    }
    const relay_head head = decode_relay_head(std::string_view(this->line).substr(0, end));
    this->is_head_read = true;
    body = this->line.substr(end + 1);
    std::string().swap(this->line);
    return head;
}

} // namespace sailtiller
