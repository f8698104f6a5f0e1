// SPDX-License-Identifier: Apache-2.0
// What a stream costs by way of another host, against one over a connection of the host's own. Upstream and
// both hosts share one loop and thread, so the time is that of all of them.
#include <relay/relayclient.h>
#include <relay/relayservice.h>
#include <runtime/httpcall.h>
#include <runtime/httpserver.h>

#include <benchmark/benchmark.h>

namespace sailtiller {

namespace {

constexpr int events = 100;
const std::string event_text = "id: 17\ndata: some tokens of an answer\n\n";

/// Upstream and relaying host on one loop; the upstream answers each request with a stream, event by event.
class relay_setting
{
public:
    relay_setting()
        : upstream(this->loop, {}, std::nullopt,
            [this](const std::shared_ptr<http_exchange>& exchange) { this->answer(exchange, 0); })
        , upstream_address(this->upstream.listen(endpoint("127.0.0.1:0")))
        , service({}, this->make_service_hooks())
        , relay(this->loop, {}, std::nullopt,
              [this](const std::shared_ptr<http_exchange>& exchange) { this->service.handle(exchange); })
        , relay_address(this->relay.listen(endpoint("127.0.0.1:0")))
        , pool(this->loop, {})
        , client(this->loop, {}, this->make_client_hooks())
    {
    }

    void stream(bool is_relayed)
    {
        this->is_done = false;
        http_request request;
        request.method = "POST";
        request.path = "/x";
        request.headers = {{"host", "a.example"}};
        http_call_handlers handlers;
        handlers.on_head = [](int, const http_headers&) {};
        handlers.on_body = [this](std::string_view bytes) { this->received += bytes.size(); };
        handlers.on_end = [this](call_ending ending, const std::string&) {
            this->is_done = true;
            this->failures += ending == call_ending::whole ? 0 : 1;
        };
        const upstream_target target{upstream_id("u"), this->upstream_address, request_id("r")};
        if (is_relayed) {
            this->client.send(target, {}, request, true, std::move(handlers));
        } else {
            http_call_options options;
            options.pool = &this->pool;
            http_call::start(this->loop, target.address, request, options, std::move(handlers));
        }
        while (!this->is_done) {
            this->loop.run_once(std::chrono::milliseconds(1));
        }
    }

    std::size_t received = 0;
    unsigned failures = 0;

private:
    relay_service_hooks make_service_hooks()
    {
        relay_service_hooks hooks;
        hooks.timers = this->loop.hooks();
        hooks.is_host = [](const endpoint&) { return true; };
        hooks.find_obstacle = [](const upstream_target&) { return std::nullopt; };
        hooks.send = [this](const upstream_target& target, const http_request& request, bool,
                         http_call_handlers handlers) -> cancel_call {
            http_call_options options;
            options.pool = &this->pool;
            const auto call =
                http_call::start(this->loop, target.address, request, options, std::move(handlers));
            return [call] { call->cancel(); };
        };
        hooks.on_head = [](const upstream_target&, int, const http_headers&, time_point) {};
        hooks.log = [](const delivery_event&) {};
        return hooks;
    }

    relay_client_hooks make_client_hooks()
    {
        relay_client_hooks hooks;
        hooks.random = make_seeded_random(1);
        hooks.list_candidates = [this](const upstream_group&) {
            return std::vector{relay_candidate{host_id("p"), this->relay_address, true, 0}};
        };
        hooks.is_up = [](const host_id&) { return true; };
        hooks.on_no_way = [](const host_id&, const upstream_group&) {};
        hooks.on_lost = [](relay_loss) {};
        hooks.log = [](const delivery_event&) {};
        return hooks;
    }

    void answer(const std::shared_ptr<http_exchange>& exchange, int sent)
    {
        if (sent == 0) {
            exchange->start(200, {{"content-type", "text/event-stream"}});
        }
        if (sent == events) {
            exchange->finish();
            return;
        }
        exchange->send(event_text);
        this->loop.schedule_after(
            duration::zero(), [this, exchange, sent] { this->answer(exchange, sent + 1); });
    }

    event_loop loop;
    http_server upstream;
    endpoint upstream_address;
    relay_service service;
    http_server relay;
    endpoint relay_address;
    connection_pool pool;
    relay_client client;
    bool is_done = false;
};

void bench_stream(benchmark::State& state)
{
    relay_setting setting;
    const bool is_relayed = state.range(0) != 0;
    for (auto _ : state) {
        setting.stream(is_relayed);
    }
    state.counters["bytes"] =
        benchmark::Counter(static_cast<double>(setting.received), benchmark::Counter::kAvgIterations);
    state.counters["failures"] = setting.failures;
}

BENCHMARK(bench_stream)->ArgName("relayed")->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace sailtiller
