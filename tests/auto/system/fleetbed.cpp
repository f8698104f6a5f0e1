// SPDX-License-Identifier: Apache-2.0
#include "fleetbed.h"

#include <runtime/textfile.h>

#include <cstdlib>
#include <filesystem>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

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

std::string make_folder()
{
    std::string path = (std::filesystem::temp_directory_path() / "sailtiller-test-XXXXXX").string();
    return mkdtemp(path.data());
}

} // namespace

bed_engine::bed_engine(event_loop& loop, duration step_time)
    : engine(loop, {bed_layers, step_time, step_time})
    , server(std::make_unique<http_server>(loop, http_server_limits{}, std::nullopt,
          [this](const std::shared_ptr<http_exchange>& exchange) { this->engine.handle(exchange); }))
    , address(this->server->listen(endpoint("127.0.0.1:0")))
{
}

fleet_bed::fleet_bed()
    : folder(make_folder())
    , log_server(this->loop, {.most_body_bytes = 64U << 20U}, std::nullopt,
          [this](const std::shared_ptr<http_exchange>& exchange) { this->log.handle(exchange); })
    , list_server(this->loop, {}, std::nullopt,
          [this](const std::shared_ptr<http_exchange>& exchange) { this->host_list.handle(exchange); })
    , log_address(this->log_server.listen(endpoint("127.0.0.1:0")))
    , list_address(this->list_server.listen(endpoint("127.0.0.1:0")))
{
    this->content.times = {2s, 500ms, 60s};
    EXPECT_EQ(this->run_command({"key", "generate", this->path("operator")}), 0);
}

void fleet_bed::TearDown()
{
    this->hosts.clear();
    std::filesystem::remove_all(this->folder);
}

void fleet_bed::start_engines(duration step_time)
{
    for (upstream& item : this->content.upstreams) {
        this->engines.push_back(std::make_unique<bed_engine>(this->loop, step_time));
        item.address = this->engines.back()->address;
    }
}

bed_host& fleet_bed::start_host(const std::string& name, const std::vector<std::string>& more_flags)
{
    std::vector<std::string> flags{"--host-id", name, "--data-hall", "hall-a", "--deployment", "fleet",
        "--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
        "--log-address", this->log_address.value(), "--host-list-address", this->list_address.value(),
        "--trusted-key", this->path("operator.pub"), "--stop-grace-ms", "100", "--log-layout", "json"};
    flags.insert(flags.end(), more_flags.begin(), more_flags.end());
    auto host = std::make_unique<bed_host>();
    host->name = name;
    host->process = std::make_unique<child_process>(SAILTILLERD_PATH, flags);
    run_until(this->loop, [&] {
        return !field_of(host->process->output(), "peer_listen").empty() || host->process->exit_code();
    });
    const std::string& text = host->process->output();
    host->callers = endpoint(field_of(text, "listen"));
    host->admin = endpoint(field_of(text, "admin"));
    host->peers = endpoint(field_of(text, "peer_listen"));
    this->hosts.push_back(std::move(host));
    this->write_host_list();
    return *this->hosts.back();
}

void fleet_bed::write_host_list()
{
    json list = json::array();
    for (const auto& host : this->hosts) {
        list.push_back({{"name", host->name}, {"kind", "host"}, {"peer_address", host->peers.value()},
            {"data_hall", "hall-a"}, {"state", "live"}});
    }
    for (const upstream& item : this->content.upstreams) {
        const bool is_leaving = this->leaving.contains(item.name.value());
        list.push_back(
            {{"name", item.name.value()}, {"kind", "upstream"}, {"state", is_leaving ? "leaving" : "live"}});
    }
    this->host_list.set_list(json({{"hosts", list}}).dump());
}

std::unique_ptr<child_process> fleet_bed::start_command(const std::vector<std::string>& arguments)
{
    return std::make_unique<child_process>(SAILTILLER_PATH, arguments);
}

int fleet_bed::wait_for(child_process& process)
{
    run_until(this->loop, [&] { return process.exit_code().has_value(); });
    this->last_output = process.output();
    return process.exit_code().value_or(-1);
}

int fleet_bed::run_command(const std::vector<std::string>& arguments)
{
    const std::unique_ptr<child_process> process = this->start_command(arguments);
    return this->wait_for(*process);
}

std::vector<std::string> fleet_bed::prepare(const std::string& name)
{
    this->content.name = name;
    const std::string file = this->path(name + ".json");
    const std::string sign_off = this->path(name + ".sign-off");
    const std::string key = this->path("operator");
    const std::vector<std::string> log_flags{"--log-address", this->log_address.value(), "--deployment",
        "fleet", "--trusted-key", this->path("operator.pub")};
    write_new_text_file(file, to_json(this->content).dump(), false);
    EXPECT_EQ(
        this->run_command({"bundle", "sign", file, "--key", key, "--deployment", "fleet", "--out", sign_off}),
        0)
        << this->last_output;
    std::vector<std::string> publish{"bundle", "publish", file};
    publish.insert(publish.end(), log_flags.begin(), log_flags.end());
    EXPECT_EQ(this->run_command(publish), 0) << this->last_output;
    std::vector<std::string> activate{"bundle", "activate", file, "--key", key, "--sign-off", sign_off,
        "--operator", "anna", "--reason", "test"};
    activate.insert(activate.end(), log_flags.begin(), log_flags.end());
    return activate;
}

void fleet_bed::activate(const std::string& name, const std::vector<bed_host*>& wanted)
{
    std::vector<std::string> arguments = this->prepare(name);
    for (const bed_host* host : wanted) {
        arguments.insert(arguments.end(), {"--host", host->admin.value()});
    }
    ASSERT_EQ(this->run_command(arguments), 0) << this->last_output;
}

json fleet_bed::status_of(const bed_host& host)
{
    http_request request;
    request.method = "GET";
    request.path = "/status";
    std::optional<json> status;
    this->client.send(
        host.admin, request, [&](const http_response& answer) { status = json::parse(answer.body); },
        [&](const http_failure&) { status = json::object(); });
    run_until(this->loop, [&] { return status.has_value(); });
    return *status;
}

void fleet_bed::wait_until_generation(const bed_host& host, std::uint64_t generation)
{
    run_until(this->loop, [&] { return this->status_of(host).value("generation", 0U) >= generation; });
}

std::shared_ptr<http_response> fleet_bed::ask(
    const bed_host& host, const std::string& prompt, const http_headers& more_headers, std::uint32_t tokens)
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = more_headers;
    request.headers.push_back({"authorization", "Bearer key-0"});
    request.body = json({{"model", "model-0"}, {"max_tokens", tokens}, {"prompt", prompt}}).dump();
    auto answer = std::make_shared<http_response>();
    this->client.send(
        host.callers, request, [answer](http_response response) { *answer = std::move(response); },
        [answer](const http_failure& failure) {
            *answer = {-1, {}, failure.reason};
        });
    return answer;
}

std::string fleet_bed::text_of(const http_response& answer)
{
    const json body = json::parse(answer.body, nullptr, false);
    return body.is_object() && body.contains("choices") ? body["choices"][0].value("text", "") : answer.body;
}

std::uint64_t fleet_bed::total(std::uint64_t (standins::engine_standin::*count)() const) const
{
    std::uint64_t sum = 0;
    for (const auto& item : this->engines) {
        sum += (item->engine.*count)();
    }
    return sum;
}

} // namespace sailtiller::tests
