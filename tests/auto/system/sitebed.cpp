// SPDX-License-Identifier: Apache-2.0
#include "sitebed.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <unistd.h>

namespace sailtiller::tests {

namespace {

/// The value of a field in a host's log lines; empty until it stands there.
std::string field_of(const std::string& text, const std::string& name)
{
    const std::string mark = "\"" + name + "\":\"";
    const std::size_t begin = text.find(mark);
    if (begin == std::string::npos) {
        return "";
    }
    const std::size_t value = begin + mark.size();
    return text.substr(value, text.find('"', value) - value);
}

} // namespace

site_bed::site_bed()
{
    this->write_configuration(1, {"key-1", "key-2"});
    for (const char* id : {"service-1", "service-2"}) {
        this->services.push_back(
            std::make_unique<standins::platform_service>(this->loop, this->store, this->world, id));
    }
}

void site_bed::TearDown()
{
    if (!HasFailure()) {
        return;
    }
    std::string test = testing::UnitTest::GetInstance()->current_test_info()->name();
    std::replace(test.begin(), test.end(), '/', '-'); // before a parameter
    std::map<std::string, unsigned> starts;
    for (const auto& host : this->hosts) {
        const std::string path = testing::TempDir() + test + "-" + std::to_string(getpid()) + "-" + host->name
            + "-" + std::to_string(++starts[host->name]) + ".log";
        std::ofstream(path) << host->process->output();
        std::cout << "log of host " << host->name << ": " << path << "\n";
    }
}

void site_bed::write_configuration(std::uint64_t version, const std::vector<std::string>& keys)
{
    this->write_accounts(version, json::array({{{"name", "one"}, {"api-keys", keys}}}).dump());
}

void site_bed::write_accounts(std::uint64_t version, const std::string& accounts)
{
    const json chat = {{"name", "chat"}, {"host", "a.example"}, {"path-prefix", "/chat/"},
        {"kind", "streaming"}, {"timeout-ms", 20000}, {"target-latency-ms", 500}, {"max-attempts", 2},
        {"resumable", true}, {"gap_aim_ms", 200}, {"service", "llm"}};
    const json submit = {{"name", "submit"}, {"host", "a.example"}, {"path-prefix", "/submit/"},
        {"kind", "unsafe"}, {"timeout-ms", 3000}, {"target-latency-ms", 300}, {"max-attempts", 1},
        {"service", "plain"}};
    // A card holds six of the eight layers.
    const json engine = {{"kv-token-bytes", 8000}, {"models", {{{"name", "m"}, {"load_s", 0.2}}}},
        {"step_ms", 1.0}, {"read_per_s", 100000.0}, {"usual", {{"prompt", 80}, {"answer", 20}}},
        {"layers", this->world.layers}, {"layer_mb", 1000.0}, {"act_bytes", 1000}, {"pipe_mbps", 10000.0},
        {"kinds", {{{"name", "card"}, {"mb", 6500.0}}}}};
    json configuration = {{"version", version}, {"routes", {chat, submit}},
        {"services", {{{"name", "llm"}, {"engine", engine}}, {{"name", "plain"}}}}};
    if (!accounts.empty()) {
        configuration["tenants"] = json::parse(accounts);
    }
    if (!this->caller_limits.is_null()) {
        configuration["limits"] = this->caller_limits;
    }
    this->store.put("keyed.op", "config", configuration.dump());
}

void site_bed::start_engines(unsigned count_per_hall)
{
    for (const char* hall : {"x", "y"}) {
        for (unsigned number = 0; number < count_per_hall; ++number) {
            this->engines.push_back(std::make_unique<standins::path_engine>(
                this->loop, this->store, this->world, hall + std::to_string(number), hall));
        }
    }
}

site_host_process& site_bed::start_host(
    const std::string& name, const std::vector<std::string>& more_flags, bool is_gate_open)
{
    auto host = std::make_unique<site_host_process>();
    host->name = name;
    *host->is_gate_open = is_gate_open;
    const bool& is_open = *host->is_gate_open;
    host->store_gate = std::make_unique<http_server>(this->loop, http_server_limits{}, std::nullopt,
        [this, &is_open](
            const std::shared_ptr<http_exchange>& exchange) { this->store.handle(exchange, is_open); });
    const endpoint store_address = host->store_gate->listen(endpoint("127.0.0.1:0"));
    std::vector<std::string> flags{"--host-id", name, "--data-hall", "x", "--listen", "127.0.0.1:0",
        "--admin-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--store-address",
        store_address.value(), "--retry-slack", "1000", "--log-layout", "json"};
    const std::string grace_flag = "--stop-grace-ms";
    if (std::find(more_flags.begin(), more_flags.end(), grace_flag) == more_flags.end()) {
        flags.insert(flags.end(), {grace_flag, "100"});
    }
    flags.insert(flags.end(), more_flags.begin(), more_flags.end());
    host->process = std::make_unique<child_process>(SAILTILLERD_PATH, flags);
    run_until(this->loop, [&] {
        return !field_of(host->process->output(), "peer_listen").empty() || host->process->exit_code();
    });
    const std::string& text = host->process->output();
    host->callers = endpoint(field_of(text, "listen"));
    host->admin = endpoint(field_of(text, "admin"));
    this->hosts.push_back(std::move(host));
    return *this->hosts.back();
}

std::shared_ptr<site_answer> site_bed::ask(const site_host_process& host, const std::string& id,
    const std::string& path, const std::string& key, const std::string& body,
    const http_headers& more_headers)
{
    auto answer = std::make_shared<site_answer>();
    http_request request;
    request.method = "POST";
    request.path = path;
    request.headers = {{"x-attempt-id", id}, {"x-deadline-ms", "20000"}, {"authorization", "Bearer " + key},
        {"x-token-usage", "80,20"}};
    request.headers.insert(request.headers.end(), more_headers.begin(), more_headers.end());
    request.body = body;
    // The client names the address as the host; routes are by the virtual host, which goes before it.
    request.authority = "a.example";
    this->client.send(
        host.callers, request,
        [answer](const http_response& response) {
            answer->status = response.status;
            answer->headers = response.headers;
            answer->body = response.body;
            answer->is_done = true;
        },
        [answer](const http_failure&) {
            answer->status = -1;
            answer->is_done = true;
        });
    return answer;
}

std::string site_bed::fetch(const site_host_process& host, const std::string& path)
{
    http_request request;
    request.method = "GET";
    request.path = path;
    std::optional<std::string> body;
    this->client.send(
        host.admin, request, [&body](const http_response& response) { body = response.body; },
        [&body](const http_failure& failure) { body = failure.reason; });
    run_until(this->loop, [&body] { return body.has_value(); });
    return *body;
}

std::set<std::string> site_bed::known_upstreams(const site_host_process& host)
{
    std::set<std::string> names;
    const json status = json::parse(this->fetch(host, "/status"));
    for (const json& upstream : status.at("upstreams")) {
        names.insert(upstream.at("id").get<std::string>());
    }
    return names;
}

void site_bed::pass(duration time)
{
    const time_point end = this->loop.now() + time;
    while (this->loop.now() < end) {
        this->loop.run_once(std::chrono::milliseconds(20));
    }
}

void site_bed::wait_for(const std::shared_ptr<site_answer>& answer)
{
    run_until(this->loop, [&answer] { return answer->is_done; });
}

void site_bed::wait_until_served(const site_host_process& host)
{
    for (;;) {
        const auto answer = this->ask(host, "probe-" + std::to_string(this->probes++));
        this->wait_for(answer);
        if (answer->status == 200) {
            return;
        }
        ASSERT_LT(this->probes, 2000U) << answer->status << " " << answer->body;
        for (int turn = 0; turn < 3; ++turn) {
            this->loop.run_once(std::chrono::milliseconds(20));
        }
    }
}

std::string site_bed::whole_stream() const
{
    std::string text;
    for (unsigned index = 0; index < this->world.stream_events; ++index) {
        text += "id: " + std::to_string(this->world.first_event_id + index) + "\ndata: t\n\n";
    }
    return text;
}

} // namespace sailtiller::tests
