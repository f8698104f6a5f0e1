// SPDX-License-Identifier: Apache-2.0
// Load tool: keeps so many completion streams going against one target and prints what came of them as JSON.
// The target is a host, or with --direct an engine that is called step by step as a host would call it.
#include <base/json.h>
#include <base/random.h>
#include <engines/stepcodec.h>
#include <runtime/httpclient.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>

namespace {

using namespace sailtiller;
namespace po = boost::program_options;

struct load_plan
{
    endpoint target;
    std::string key;
    std::string model;
    bool is_direct = false;
    std::uint32_t layers = 1;
    std::uint32_t streams = 1;
    std::uint32_t requests = 1;
    std::uint32_t tokens = 1;
};

/// Starts requests so that the planned number is always under way, and gathers their times.
class load_run
{
public:
    explicit load_run(load_plan plan)
        : plan(std::move(plan))
        , client(this->loop, {})
    {
    }

    json run()
    {
        const time_point began = this->loop.now();
        while (this->done < this->plan.requests) {
            while (this->begun < this->plan.requests && this->begun - this->done < this->plan.streams) {
                ++this->begun;
                this->begin();
            }
            this->loop.run_once(std::chrono::milliseconds(100));
        }
        const double seconds = std::chrono::duration<double>(this->loop.now() - began).count();
        std::sort(this->times.begin(), this->times.end());
        return {{"requests", this->done}, {"failed", this->failed}, {"seconds", seconds},
            {"requests_a_second", this->done / seconds},
            {"tokens_a_second", this->done * static_cast<double>(this->plan.tokens) / seconds},
            {"median_ms", this->quantile(0.5)}, {"p95_ms", this->quantile(0.95)}};
    }

private:
    void begin()
    {
        if (this->plan.is_direct) {
            this->send_step(this->begun, 0, this->loop.now());
        } else {
            this->send_completion(this->loop.now());
        }
    }

    void send_completion(time_point began)
    {
        http_request request;
        request.method = "POST";
        request.path = "/v1/completions";
        request.headers = {{"authorization", "Bearer " + this->plan.key}};
        request.body = json({{"model", this->plan.model}, {"prompt", std::to_string(this->begun)},
                                {"max_tokens", this->plan.tokens}})
                           .dump();
        this->client.send(
            this->plan.target, request,
            [this, began](const http_response& response) { this->end(response.status == 200, began); },
            [this, began](const http_failure&) { this->end(false, began); });
    }

    void send_step(std::uint32_t stream, std::uint32_t position, time_point began)
    {
        step_request step;
        step.stream = stream_id(this->run_id + "-" + std::to_string(stream));
        step.attempt = attempt_number(1);
        step.position = token_position(position);
        step.layers = {layer_index(0), layer_index(this->plan.layers - 1)};
        step.kind = position == 0 ? step_kind::prefill : step_kind::decode;
        step.input = "token";
        step.most_tokens = this->plan.tokens;
        http_request request;
        request.method = "POST";
        request.path = "/engine/v1/step";
        request.body = encode_step_request(step);
        this->client.send(
            this->plan.target, request,
            [this, stream, position, began](const http_response& response) {
                if (response.status != 200 || position + 1 == this->plan.tokens) {
                    this->end(response.status == 200, began);
                    return;
                }
                this->send_step(stream, position + 1, began);
            },
            [this, began](const http_failure&) { this->end(false, began); });
    }

    void end(bool is_good, time_point began)
    {
        ++this->done;
        this->failed += is_good ? 0 : 1;
        this->times.push_back(std::chrono::duration<double, std::milli>(this->loop.now() - began).count());
    }

    [[nodiscard]] double quantile(double share) const
    {
        const auto index = static_cast<std::size_t>(share * static_cast<double>(this->times.size() - 1));
        return this->times[index];
    }

    load_plan plan;
    std::string run_id = make_random_id(make_system_random());
    event_loop loop;
    http_client client;
    std::uint32_t begun = 0;
    std::uint32_t done = 0;
    std::uint32_t failed = 0;
    std::vector<double> times;
};

} // namespace

int main(int argc, char** argv)
{
    load_plan plan;
    std::string target;
    po::options_description options("Load tool");
    options.add_options()("target", po::value(&target)->required())("key", po::value(&plan.key))(
        "model", po::value(&plan.model))("direct", po::bool_switch(&plan.is_direct))(
        "layers", po::value(&plan.layers))("streams", po::value(&plan.streams))(
        "requests", po::value(&plan.requests))("tokens", po::value(&plan.tokens));
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    plan.target = endpoint(target);
    std::cout << load_run(plan).run().dump() << "\n";
    return 0;
}
