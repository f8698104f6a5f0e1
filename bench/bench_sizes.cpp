// SPDX-License-Identifier: Apache-2.0
// Bytes of memory of each kind of state, and bytes of each kind of control message, as JSON on standard
// output.
#include "lettersize.h"

#include <base/json.h>
#include <delivery/decisionlog.h>
#include <delivery/streamrelay.h>
#include <entry/servingstate.h>
#include <fleet/partstore.h>
#include <fleet/shareallocator.h>
#include <fleet/shareclient.h>
#include <runtime/metrics.h>
#include <support/sampleactivation.h>

#include <functional>
#include <iostream>
#include <malloc.h>

namespace {

using namespace sailtiller;

std::size_t heap_in_use()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// The growth of the heap from `count` more of something, divided by the count. What is made is kept until
/// then.
double bytes_for_each(std::size_t count, const std::function<std::shared_ptr<void>(std::size_t)>& make)
{
    const std::size_t before = heap_in_use();
    const std::shared_ptr<void> kept = make(count);
    return static_cast<double>(heap_in_use() - before) / static_cast<double>(count);
}

/// An account at its home, with one host that holds a share, and at that host.
double share_bytes()
{
    const account_limits limits{100, 50.0};
    return bytes_for_each(bench::accounts, [&limits](std::size_t count) {
        auto home =
            std::make_shared<share_allocator>([&limits](const client_account_id&) { return &limits; });
        for (std::size_t account = 0; account < count; ++account) {
            home->answer(
                {host_id("host-17"), {{client_account_id("account-" + std::to_string(account)), 3, 2, 1}}},
                time_point());
        }
        return home;
    });
}

double holder_bytes()
{
    const bundle content = tests::make_sample_bundle({.accounts = bench::accounts});
    timer_queue timers;
    share_hooks hooks;
    hooks.timers = make_timer_hooks(timers, [] { return time_point(); });
    return bytes_for_each(bench::accounts, [&](std::size_t) {
        auto holder = std::make_shared<share_client>(host_id("host"), hooks);
        for (client_account account : content.accounts) {
            account.limits = {};
            holder->admit(account, [](const std::optional<share_refusal>&) {});
        }
        return holder;
    });
}

double serving_state_bytes(const bundle& content)
{
    load_table loads;
    return bytes_for_each(1, [&](std::size_t) {
        return std::make_shared<serving_state>(std::make_shared<const bundle>(content), generation_number(1),
            host_id("host"), loads, make_seeded_random(1));
    });
}

double load_bytes()
{
    constexpr std::size_t upstreams = 4800;
    return bytes_for_each(upstreams, [](std::size_t count) {
        auto loads = std::make_shared<load_table>();
        for (std::size_t index = 0; index < count; ++index) {
            loads->load_of(upstream_id("model-0/stage-0/holder-" + std::to_string(index)));
        }
        return loads;
    });
}

double histogram_bytes()
{
    // Each account's times fall into about twenty of the buckets, and counts pass 255, as in a day's traffic.
    return bytes_for_each(bench::accounts, [](std::size_t count) {
        auto family = std::make_shared<time_histogram_family>("t", "help", "account", count);
        for (std::size_t account = 0; account < count; ++account) {
            for (int sample = 0; sample < 6000; ++sample) {
                family->record("account-" + std::to_string(account), duration(1000 + 50 * (sample % 2000)));
            }
        }
        return family;
    });
}

double decision_bytes()
{
    return bytes_for_each(1000, [](std::size_t count) {
        auto log = std::make_shared<decision_log>(count);
        for (std::size_t request = 0; request < count; ++request) {
            const request_id id("0123456789abcdef0123456789abcdef" + std::to_string(request));
            // A chain of eight stages, a failed step, and the end.
            std::string names;
            std::string ranges;
            for (std::uint32_t stage = 0; stage < bench::stages_a_replica; ++stage) {
                names += "model-0/stage-0/holder-0 > ";
                ranges += "0-7 > ";
            }
            log->note(id, {time_point(), "choose chain", names, "attempt 1, layers " + ranges});
            log->note(id,
                {time_point(), "await answer", "model-0/stage-0/holder-0",
                    "no answer within the time limit"});
            log->note(id, {time_point(), "choose chain", names, "attempt 2, layers " + ranges});
            log->note(id, {time_point(), "finish", "", "ok, 312 tokens"});
        }
        return log;
    });
}

double relay_bytes()
{
    const bundle content = bench::make_letter_bundle(0.05);
    load_table loads;
    const routing_table table(content, host_id("host"), loads);
    const chain_policy policy = make_chain_policy(policy_kind::least_time, make_seeded_random(1));
    timer_queue timers;
    constexpr std::size_t streams = 1000;
    std::vector<std::function<void(const step_answer&)>> callbacks;
    callbacks.reserve(streams);
    relay_hooks hooks;
    hooks.send_step = [&callbacks](const stage_option&, const step_request&, auto on_answer, auto) {
        callbacks.push_back(std::move(on_answer));
        return call_id{callbacks.size()};
    };
    hooks.cancel_step = [](call_id) {};
    hooks.release = [](const stage_option&, const stream_id&, attempt_number) {};
    hooks.choose_chain = [&](const std::set<upstream_id>& avoid) {
        return policy(*table.routes_of(model_id("model-0")), {time_point(), avoid});
    };
    hooks.take_retry = [] { return false; };
    hooks.note = [](const std::string&, const std::string&, const std::string&) {};
    hooks.timers = make_timer_hooks(timers, [] { return time_point(); });
    return bytes_for_each(streams, [&](std::size_t count) {
        auto relays = std::make_shared<std::vector<std::unique_ptr<stream_relay>>>();
        for (std::size_t index = 0; index < count; ++index) {
            relay_request request;
            request.stream = stream_id("0123456789abcdef0123456789abcdef" + std::to_string(index));
            request.model = model_id("model-0");
            request.prompt = std::string(4000, 'p');
            request.times = content.times;
            request.most_tokens = 512;
            relays->push_back(std::make_unique<stream_relay>(request, hooks, relay_listener{}));
            relays->back()->start();
        }
        return relays;
    });
}

/// Bytes of the parts that a host must fetch when one item of the bundle has changed: the part and the
/// manifest.
std::size_t moved_bytes(const bundle& before, const bundle& after)
{
    std::set<part_digest> held;
    for (const bundle_part& part : cut_into_parts(before).parts) {
        held.insert(part.digest);
    }
    const bundle_part_set set = cut_into_parts(after);
    std::size_t bytes = set.manifest.body.size();
    for (const bundle_part& part : set.parts) {
        bytes += held.contains(part.digest) ? 0 : part.body.size();
    }
    return bytes;
}

json bundle_sizes()
{
    const bundle content = bench::make_letter_bundle();
    const bundle_part_set set = cut_into_parts(content);
    std::size_t whole = set.manifest.body.size();
    for (const bundle_part& part : set.parts) {
        whole += part.body.size();
    }
    bundle account_changed = content;
    account_changed.accounts[1].limits.streams = 7;
    bundle upstream_changed = content;
    upstream_changed.upstreams[1].streams = 7;
    bundle model_changed = content;
    model_changed.models[1].longest_answer = 7;
    tests::sample_operator anna("anna");
    const trust_settings trust = tests::trust_in({&anna});
    activation_fold fold(trust);
    const signed_activation item = anna.activate(fold, set.manifest.digest);
    fold.read(log_offset(0), item);
    return {
        {"bundle_bytes", whole},
        {"bundle_parts", set.parts.size() + 1},
        {"manifest_bytes", set.manifest.body.size()},
        {"account_change_bytes", moved_bytes(content, account_changed)},
        {"upstream_change_bytes", moved_bytes(content, upstream_changed)},
        {"model_change_bytes", moved_bytes(content, model_changed)},
        {"activation_record_bytes", encode_record(item).size()},
        {"snapshot_record_bytes", encode_record(*fold.snapshot()).size()},
        {"serving_state_bytes", serving_state_bytes(content)},
    };
}

} // namespace

int main()
{
    json sizes = bundle_sizes();
    const bundle today = tests::make_sample_bundle(
        {.accounts = 10, .models = 4, .layers = 64, .stages = 2, .holders_of_a_stage = 10});
    sizes["today_serving_state_bytes"] = serving_state_bytes(today);
    sizes["share_bytes_at_home"] = share_bytes();
    sizes["share_bytes_at_holder"] = holder_bytes();
    const client_account_id account("account-1234");
    sizes["share_question_bytes"] = encode_share_query({host_id("host-17"), {{account, 3, 2, 1}}}).size();
    sizes["share_grant_bytes"] = encode_share_grants({{account, 5, 1}}).size();
    sizes["load_bytes_an_upstream"] = load_bytes();
    sizes["histogram_bytes_an_account"] = histogram_bytes();
    sizes["decision_bytes_a_request"] = decision_bytes();
    sizes["relay_bytes_a_stream"] = relay_bytes();
    std::cout << sizes.dump(2) << "\n";
    return 0;
}
