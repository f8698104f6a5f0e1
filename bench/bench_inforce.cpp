// SPDX-License-Identifier: Apache-2.0
// From the append of an activation to its being in force on every host: so many followers in one process on
// one log in memory, each read and append taking 5 ms on a clock that the benchmark advances. Prints JSON.
#include "lettersize.h"

#include <base/json.h>
#include <fleet/bundlefollower.h>
#include <support/fakelog.h>
#include <support/sampleactivation.h>

#include <algorithm>
#include <chrono>
#include <iostream>

namespace {

using namespace sailtiller;
using namespace std::chrono_literals;

constexpr duration log_latency = 5ms;
constexpr duration tick = 1ms;
constexpr int changes = 20;

/// Followers that all read one log, on a clock that only `pass_until` advances.
class follower_fleet
{
public:
    explicit follower_fleet(std::uint32_t count)
    {
        this->log.latency = log_latency;
        this->names = bench::make_hosts(count);
        for (const host_id& name : this->names) {
            this->followers.push_back(
                std::make_unique<bundle_follower>(this->make_settings(name), this->make_hooks()));
        }
    }

    void start()
    {
        for (const auto& item : this->followers) {
            item->start();
        }
        this->pass_until([this] { return this->now > time_point(100ms); });
    }

    /// Publishes the parts that the log lacks; they don't count into the time to force.
    void publish(const bundle_part_set& set)
    {
        for (const bundle_part& part : set.parts) {
            if (this->published.insert(part.digest).second) {
                this->append(part);
            }
        }
        this->append(set.manifest);
        this->pass_until([end = this->now + 500ms, this] { return this->now >= end; });
    }

    /// Activates a published bundle; gives the time until the last host has it in force.
    duration activate(const bundle_part_set& set)
    {
        this->append(this->anna.activate(this->reference, set.manifest.digest));
        const time_point appended = this->now;
        const std::uint64_t generation = this->reference.generation().value();
        this->pass_until([this, generation] {
            return std::all_of(
                this->followers.begin(), this->followers.end(), [generation](const auto& item) {
                    return item->status().applied_generation.value() == generation;
                });
        });
        return this->now - appended;
    }

private:
    follower_settings make_settings(const host_id& name) const
    {
        follower_settings settings;
        settings.self = name;
        settings.trust = this->trust;
        return settings;
    }

    follower_hooks make_hooks()
    {
        follower_hooks hooks;
        hooks.log = this->log.hooks();
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        hooks.live_hosts = [this] { return this->names; };
        hooks.ask_peers = [](const std::vector<part_digest>&) { return std::size_t{0}; };
        hooks.on_bundle = [](const std::shared_ptr<const bundle_in_force>&) {};
        hooks.on_event = [](event_type, const std::string&, const std::string&) {};
        return hooks;
    }

    void append(const log_record& record)
    {
        this->reference.read(this->log.append(encode_record(record)), record);
    }

    template <typename Condition>
    void pass_until(const Condition& is_done)
    {
        while (!is_done()) {
            this->now += tick;
            this->timers.run_due(this->now);
        }
    }

    timer_queue timers;
    time_point now{};
    tests::fake_log log{this->timers, [this] { return this->now; }};
    tests::sample_operator anna{"anna"};
    trust_settings trust = tests::trust_in({&this->anna});
    activation_fold reference{this->trust};
    std::vector<host_id> names;
    std::vector<std::unique_ptr<bundle_follower>> followers;
    std::set<part_digest> published;
};

json measure(std::uint32_t hosts, const bundle& first)
{
    follower_fleet fleet(hosts);
    fleet.start();
    bundle content = first;
    bundle_part_set set = cut_into_parts(content);
    fleet.publish(set);
    fleet.activate(set);
    std::vector<double> delays;
    double seconds = 0;
    for (int change = 0; change < changes; ++change) {
        content.accounts[static_cast<std::size_t>(change)].limits.streams = 1000;
        set = cut_into_parts(content);
        fleet.publish(set);
        const auto began = std::chrono::steady_clock::now();
        delays.push_back(std::chrono::duration<double, std::milli>(fleet.activate(set)).count());
        seconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    }
    return {{"hosts", hosts}, {"longest_ms", *std::max_element(delays.begin(), delays.end())},
        {"cpu_ms_a_host_and_change", seconds * 1e3 / changes / hosts}};
}

} // namespace

int main()
{
    const bundle today = tests::make_sample_bundle(
        {.accounts = 20, .models = 4, .layers = 64, .stages = 2, .holders_of_a_stage = 10});
    const json results = {measure(9, today), measure(400, today), measure(9, bench::make_letter_bundle(0.1))};
    std::cout << results.dump(2) << "\n";
    return 0;
}
