// SPDX-License-Identifier: Apache-2.0
// Policies against the bound that the hardware allows: several hosts with the real routing and relay,
// upstreams that batch, a clock that the bench advances. No sockets and no cluster: each upstream is one
// queue. Prints JSON.
#include "lettersize.h"

#include <base/json.h>
#include <delivery/streamrelay.h>
#include <routing/retrybudget.h>

#include <algorithm>
#include <iostream>

namespace {

using namespace sailtiller;
using namespace std::chrono_literals;

constexpr std::uint32_t layers = 64;
constexpr std::uint32_t stages = 2;
constexpr std::uint32_t holders = 12;
constexpr std::uint32_t entry_hosts = 8;
constexpr std::uint32_t tokens = 40;
constexpr duration warm_up = 4s;
constexpr duration run_time = 16s;
constexpr double prefill_share = 3.0; ///< a batch with a prefill takes so much longer

/// What one run is about.
struct scenario
{
    policy_kind policy = policy_kind::least_time;
    double load = 1.0; ///< streams at once, as a share of all room on the first stage
    bool kills_one = false; ///< one holder dies in the middle
    std::uint64_t seed = 1;
};

/// One upstream: takes all waiting steps that fit as a batch, and answers them together.
class batching_upstream
{
public:
    batching_upstream(
        const stage_holder& holder, const upstream& target, timer_queue& timers, const time_point& now)
        : step_time(holder.step_time)
        , room(target.streams)
        , timers(timers)
        , now(now)
    {
    }

    void take(bool is_prefill, std::function<void()> on_done, std::function<void()> on_dead)
    {
        if (this->is_dead) {
            on_dead();
            return;
        }
        this->waiting.push_back({is_prefill, std::move(on_done)});
        if (!this->is_running) {
            this->run_batch();
        }
    }

    void kill() { this->is_dead = true; }
    [[nodiscard]] std::uint32_t load() const
    {
        return static_cast<std::uint32_t>(this->waiting.size()) + this->running;
    }
    /// Steps a second of full batches.
    [[nodiscard]] double capacity() const
    {
        return this->room / std::chrono::duration<double>(this->step_time).count();
    }

private:
    struct step
    {
        bool is_prefill = false;
        std::function<void()> on_done;
    };

    void run_batch()
    {
        const std::size_t size = std::min<std::size_t>(this->room, this->waiting.size());
        std::vector<step> batch(
            this->waiting.begin(), this->waiting.begin() + static_cast<std::ptrdiff_t>(size));
        this->waiting.erase(this->waiting.begin(), this->waiting.begin() + static_cast<std::ptrdiff_t>(size));
        const bool has_prefill =
            std::any_of(batch.begin(), batch.end(), [](const step& item) { return item.is_prefill; });
        // Half of a step's time is there for any batch, the other half grows with it.
        const double fill = 0.5 + 0.5 * static_cast<double>(size) / this->room;
        const double stretch = fill * (has_prefill ? prefill_share : 1.0);
        this->is_running = true;
        this->running = static_cast<std::uint32_t>(size);
        const auto length =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(this->step_time) * stretch);
        this->timers.schedule(this->now + length, [this, batch] {
            this->is_running = false;
            this->running = 0;
            for (const step& item : batch) {
                if (!this->is_dead) {
                    item.on_done();
                }
            }
            if (!this->waiting.empty() && !this->is_dead) {
                this->run_batch();
            }
        });
    }

    duration step_time;
    std::uint32_t room;
    timer_queue& timers;
    const time_point& now;
    std::vector<step> waiting;
    std::uint32_t running = 0;
    bool is_running = false;
    bool is_dead = false;
};

/// Mixed kinds (step times 5 to 15 ms) on links that differ a hundredfold (0.25 to 25 ms).
bundle make_mixed_bundle()
{
    tests::sample_sizes sizes;
    sizes.layers = layers;
    sizes.stages = stages;
    sizes.holders_of_a_stage = holders;
    bundle content = tests::make_sample_bundle(sizes);
    content.times = {3s, 500ms, 60s};
    for (std::size_t index = 0; index < content.upstreams.size(); ++index) {
        content.upstreams[index].link_delay = index % 6 == 5 ? 25ms : (index % 3 == 2 ? 2ms : 250us);
    }
    return content;
}

class policy_run
{
public:
    explicit policy_run(scenario plan)
        : plan(plan)
        , content(make_mixed_bundle())
    {
        const model& served = this->content.models.front();
        for (std::size_t index = 0; index < served.holders.size(); ++index) {
            this->upstreams.emplace(served.holders[index].holder,
                batching_upstream(
                    served.holders[index], this->content.upstreams[index], this->timers, this->now));
        }
        for (std::uint32_t host = 0; host < entry_hosts; ++host) {
            auto entry = std::make_unique<entry_host>();
            entry->table = std::make_unique<routing_table>(
                this->content, host_id("host-" + std::to_string(host)), entry->loads);
            entry->policy = make_chain_policy(plan.policy, make_seeded_random(plan.seed * 100 + host));
            this->hosts.push_back(std::move(entry));
        }
    }

    json run()
    {
        const auto streams = static_cast<std::uint32_t>(this->plan.load * this->room_of_first_stage());
        for (std::uint32_t stream = 0; stream < streams; ++stream) {
            this->timers.schedule(this->now + 3ms * stream, [this, stream] { this->begin(stream); });
        }
        if (this->plan.kills_one) {
            this->timers.schedule(time_point(warm_up + run_time / 2),
                [this] { this->upstreams.at(upstream_id("model-0/stage-0/holder-0")).kill(); });
        }
        const time_point end(warm_up + run_time);
        while (const std::optional<time_point> due = this->timers.next_due()) {
            if (*due > end) {
                break;
            }
            this->now = std::max(this->now, *due);
            this->timers.run_due(this->now);
        }
        const double seconds = std::chrono::duration<double>(run_time).count();
        return {{"policy", to_text(this->plan.policy)}, {"load", this->plan.load},
            {"kills_one", this->plan.kills_one},
            {"throughput_of_bound", static_cast<double>(this->counted_tokens) / seconds / this->bound()},
            {"first_token_ms", quantiles(this->first_tokens)}, {"between_tokens_ms", quantiles(this->gaps)},
            {"longest_gap_ms",
                this->gaps.empty() ? 0 : *std::max_element(this->gaps.begin(), this->gaps.end())},
            {"failed", this->failed}, {"repeated", this->repeated}};
    }

private:
    struct entry_host
    {
        load_table loads;
        std::unique_ptr<routing_table> table;
        chain_policy policy;
        retry_budget retries{0.2};
    };

    struct running_stream
    {
        std::unique_ptr<stream_relay> relay;
        time_point began{};
        time_point last_token{};
    };

    [[nodiscard]] double room_of_first_stage() const
    {
        double room = 0;
        for (std::uint32_t holder = 0; holder < holders; ++holder) {
            room += this->content.upstreams[holder].streams;
        }
        return room;
    }

    /// Tokens a second that the narrowest stage allows with full batches and no prefill.
    [[nodiscard]] double bound() const
    {
        double narrowest = 1e18;
        for (std::uint32_t stage = 0; stage < stages; ++stage) {
            double sum = 0;
            for (std::uint32_t holder = 0; holder < holders; ++holder) {
                sum += this->upstreams
                           .at(upstream_id("model-0/stage-" + std::to_string(stage) + "/holder-"
                               + std::to_string(holder)))
                           .capacity();
            }
            narrowest = std::min(narrowest, sum);
        }
        return narrowest;
    }

    void begin(std::uint32_t slot)
    {
        entry_host& host = *this->hosts[slot % entry_hosts];
        running_stream& stream = this->streams[slot];
        stream.began = this->now;
        stream.last_token = this->now;
        relay_request request;
        request.stream = stream_id(std::to_string(slot) + "/" + std::to_string(++this->started));
        request.model = model_id("model-0");
        request.most_tokens = tokens;
        request.times = this->content.times;
        request.most_attempts = 3;
        relay_listener listener;
        listener.on_token = [this, slot](const generated_token&, token_position position) {
            this->note_token(slot, position.value() == 0);
        };
        listener.on_end = [this, slot, &host] {
            host.retries.note_finished();
            this->begin_later(slot);
        };
        listener.on_failure = [this, slot, &host](const request_failure&) {
            host.retries.note_finished();
            ++this->failed;
            this->begin_later(slot);
        };
        host.retries.note_first_attempt();
        stream.relay = std::make_unique<stream_relay>(request, this->make_hooks(host), listener);
        stream.relay->start();
    }

    void begin_later(std::uint32_t slot)
    {
        const relay_counters& counts = this->streams[slot].relay->counters();
        this->repeated += counts.attempts - 1;
        this->timers.schedule(this->now + 1ms, [this, slot] { this->begin(slot); });
    }

    relay_hooks make_hooks(entry_host& host)
    {
        relay_hooks hooks;
        hooks.send_step = [this](const stage_option& stage, const step_request& step, auto on_answer,
                              auto on_failure) {
            this->timers.schedule(this->now + stage.link_delay, [this, stage, step, on_answer, on_failure] {
                this->deliver(stage, step, on_answer, on_failure);
            });
            return ++this->last_call;
        };
        hooks.cancel_step = [](call_id) {};
        hooks.release = [](const stage_option&, const stream_id&, attempt_number) {};
        hooks.choose_chain = [this, &host](const std::set<upstream_id>& avoid) {
            return host.policy(*host.table->routes_of(model_id("model-0")), {this->now, avoid});
        };
        hooks.take_retry = [&host] { return host.retries.take_retry(); };
        hooks.note = [](const std::string&, const std::string&, const std::string&) {};
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        return hooks;
    }

    void deliver(const stage_option& stage, const step_request& step,
        const std::function<void(const step_answer&)>& on_answer,
        const std::function<void(const send_failure&)>& on_failure)
    {
        batching_upstream& target = this->upstreams.at(stage.holder);
        const auto done = [this, stage, step, on_answer, &target] {
            step_answer answer{step.stream, step.attempt, step.position, "", {}, target.load()};
            if (stage.layers.last.value() + 1 == layers) {
                answer.token = generated_token{"t", false, ""};
            }
            this->timers.schedule(this->now + stage.link_delay, [on_answer, answer] { on_answer(answer); });
        };
        const auto dead = [this, stage, on_failure] {
            const send_failure failure{
                send_certainty::not_sent, {"connect", stage.holder.value()}, "dead", {}};
            this->timers.schedule(
                this->now + stage.link_delay, [on_failure, failure] { on_failure(failure); });
        };
        target.take(step.kind == step_kind::prefill, done, dead);
    }

    void note_token(std::uint32_t slot, bool is_first)
    {
        running_stream& stream = this->streams[slot];
        if (this->now >= time_point(warm_up)) {
            ++this->counted_tokens;
            const double gap =
                std::chrono::duration<double, std::milli>(this->now - stream.last_token).count();
            (is_first ? this->first_tokens : this->gaps).push_back(gap);
        }
        stream.last_token = this->now;
    }

    static json quantiles(std::vector<double> values)
    {
        if (values.empty()) {
            return nullptr;
        }
        std::sort(values.begin(), values.end());
        const auto at = [&values](double share) {
            return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
        };
        return {{"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}};
    }

    scenario plan;
    bundle content;
    timer_queue timers;
    time_point now{};
    std::map<upstream_id, batching_upstream> upstreams;
    std::vector<std::unique_ptr<entry_host>> hosts;
    std::map<std::uint32_t, running_stream> streams;
    std::uint64_t started = 0;
    call_id last_call = 0;
    std::uint64_t counted_tokens = 0;
    std::uint64_t failed = 0;
    std::uint64_t repeated = 0; ///< attempts after a request's first
    std::vector<double> first_tokens;
    std::vector<double> gaps;
};

} // namespace

int main()
{
    json results = json::array();
    for (const bool kills_one : {false, true}) {
        for (const double load : {0.5, 2.0, 4.0}) {
            for (const policy_kind policy :
                {policy_kind::round_robin, policy_kind::least_in_flight, policy_kind::least_time}) {
                results.push_back(policy_run({policy, load, kills_one, 1}).run());
                std::cout << results.back().dump() << "\n";
            }
        }
    }
    return 0;
}
