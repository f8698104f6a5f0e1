// SPDX-License-Identifier: Apache-2.0
// Hosts of a site whose bundle, upstreams and duties lie in the platform's store.
#include "rawconnection.h"
#include "sitebed.h"

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

bool has_logged(const site_host_process& host, const std::string& event)
{
    return host.process->output().find("\"event\":\"" + event + "\"") != std::string::npos;
}

class site : public site_bed
{
protected:
    /// Loses an engine of each hall and waits until a new one, which comes empty, holds layers.
    void replace_lost_engines()
    {
        this->engines[0]->kill();
        this->store.put("keyed.servers", "x0", "");
        this->engines[2]->kill();
        this->store.put("keyed.servers", "y0", "");
        this->engines.push_back(
            std::make_unique<standins::path_engine>(this->loop, this->store, this->world, "new", "x"));
        run_until(this->loop, [this] { return this->engines.back()->held_layers() > 0; });
    }
};

TEST_F(site, places_the_layers_and_serves_whole_streams)
{
    this->start_engines(3);
    site_host_process& host = this->start_host("a");
    this->wait_until_served(host);
    const auto answer = this->ask(host, "r1");
    this->wait_for(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, this->whole_stream());
    EXPECT_EQ(this->world.order_faults, 0U);
    EXPECT_EQ(this->world.accounts_seen, std::set<std::string>{"one"});
    EXPECT_GE(this->world.orders, 4U);
}

TEST_F(site, tells_operators_what_it_knows_and_why_it_decided)
{
    this->start_engines(3);
    site_host_process& host = this->start_host("a");
    this->wait_until_served(host);
    this->wait_for(this->ask(host, "r1"));
    const json status = json::parse(this->fetch(host, "/status"));
    EXPECT_EQ(status.at("bundle"), 1);
    EXPECT_TRUE(status.at("gives_orders").get<bool>());
    EXPECT_TRUE(status.at("reads_store").get<bool>());
    EXPECT_EQ(status.at("upstreams").size(), 8U);
    EXPECT_TRUE(status.at("upstreams_offset").is_number());
    const json explained = json::parse(this->fetch(host, "/explain?request=r1"));
    ASSERT_GE(explained.at("decisions").size(), 2U);
    EXPECT_EQ(explained.at("decisions")[0].at("step"), "sent");
    EXPECT_NE(explained.at("decisions")[0].at("reason").get<std::string>().find("=0-"), std::string::npos);
    const std::string metrics = this->fetch(host, "/metrics");
    EXPECT_NE(metrics.find("sailtiller_site_decisions_total{kind=\"sent\"}"), std::string::npos) << metrics;
    EXPECT_NE(metrics.find("\nsailtiller_bundle_age_seconds "), std::string::npos);
    EXPECT_EQ(metrics.find("sailtiller_bundle_age_seconds -1"), std::string::npos);
    EXPECT_NE(metrics.find("\nsailtiller_route_first_token_seconds_count{route="), std::string::npos)
        << metrics;
    EXPECT_NE(metrics.find("\nsailtiller_retries_left{service="), std::string::npos);
    EXPECT_NE(metrics.find("\nsailtiller_upstreams_known{service="), std::string::npos);
    EXPECT_EQ(metrics.find("sailtiller_upstreams_offset -1"), std::string::npos);
    const std::string confirmed = "\nsailtiller_bundle_confirmation_age_seconds_count{source=\"store\"} ";
    run_until(this->loop, [&] { return this->fetch(host, "/metrics").find(confirmed) != std::string::npos; });
    const std::string accounts = this->fetch(host, "/metrics/accounts");
    EXPECT_NE(accounts.find("\nsailtiller_account_request_seconds_count{account="), std::string::npos);
    EXPECT_NE(this->fetch(host, "/explain?request=none").find("no record"), std::string::npos);
    EXPECT_EQ(
        json::parse(this->fetch(host, "/explain")).at("error"), "say which request: /explain?request=ID");
}

TEST_F(site, a_stream_outlives_any_engine_of_its_path)
{
    this->start_engines(4);
    site_host_process& host = this->start_host("a");
    this->wait_until_served(host);
    this->world.stream_events = 120;
    constexpr int streams = 6;
    std::vector<std::shared_ptr<site_answer>> answers;
    answers.reserve(streams);
    for (int number = 0; number < streams; ++number) {
        answers.push_back(this->ask(host, "r" + std::to_string(number)));
    }
    run_until(this->loop, [this] { return this->world.events_made["r5"].size() >= 20; });
    this->engines[0]->kill();
    for (const auto& answer : answers) {
        this->wait_for(answer);
        EXPECT_EQ(answer->status, 200);
        EXPECT_EQ(answer->body, this->whole_stream()) << "each event once, in order";
    }
    EXPECT_EQ(this->world.order_faults, 0U);
    for (const auto& [request, runs] : this->world.runs) {
        EXPECT_LE(runs, 2U) << request;
    }
}

// Guards against a stream that begins anew at another host because its event id was dropped or rounded.
TEST_F(site, a_caller_resumes_its_stream_at_another_host_after_an_id_of_64_bits)
{
    this->start_engines(3);
    site_host_process& first = this->start_host("a");
    site_host_process& second = this->start_host("b");
    this->wait_until_served(first);
    this->wait_until_served(second);
    this->world.stream_events = 200;
    const auto cut = this->ask(first, "cut");
    run_until(this->loop, [this] { return this->world.events_made["cut"].size() >= 20; });
    first.process->send_signal(SIGKILL);
    this->wait_for(cut);
    constexpr unsigned received = 17;
    const std::string last = std::to_string(this->world.first_event_id + received - 1);
    const auto rest = this->ask(second, "resumed", "/chat/x", "key-1", "ask", {{"last-event-id", last}});
    this->wait_for(rest);
    const std::string whole = this->whole_stream();
    const std::string tail = whole.substr(whole.find("id: " + last));
    EXPECT_EQ(rest->body, tail.substr(tail.find("\n\n") + 2));
}

TEST_F(site, layers_of_a_lost_engine_are_placed_again)
{
    this->start_engines(2);
    site_host_process& host = this->start_host("a");
    this->wait_until_served(host);
    this->replace_lost_engines();
    this->wait_until_served(host);
    EXPECT_EQ(this->world.order_faults, 0U);
}

// Guards against one odd entry of another writer that ends every host, at each of its starts.
TEST_F(site, goes_on_beside_an_odd_entry_and_starts_beside_it)
{
    const std::string entry =
        R"({"service":"plain","address":"127.0.0.1:9","zone":"x","state":"ready","born":)";
    constexpr std::size_t levels = 100'000;
    this->store.put(
        "keyed.servers", "deep", entry + std::string(levels, '[') + std::string(levels, ']') + "}");
    this->store.put("keyed.servers", "large", entry + "1e400}");
    this->start_engines(2);
    site_host_process& host = this->start_host("a");
    this->wait_until_served(host);
    EXPECT_TRUE(has_logged(host, "upstream_entry_unusable"));
    this->store.put(
        "keyed.servers", "late", entry + std::string(levels, '[') + std::string(levels, ']') + "}");
    this->pass(2s);
    EXPECT_EQ(host.process->exit_code(), std::nullopt);
    this->wait_until_served(host);
}

// Guards against layers that are never placed again because an address can't be connected to.
TEST_F(site, layers_are_placed_again_beside_an_entry_whose_address_names_no_machine)
{
    this->start_engines(2);
    site_host_process& host = this->start_host("a");
    this->wait_until_served(host);
    this->store.put("keyed.servers", "inventory",
        R"({"service":"llm","address":":8080","zone":"x","state":"ready","kind":"card"})");
    run_until(this->loop, [&host] { return has_logged(host, "upstream_entry_unusable"); });
    this->replace_lost_engines();
    this->wait_until_served(host);
}

TEST_F(site, a_withdrawn_key_is_refused_and_a_new_one_taken)
{
    this->start_engines(3);
    site_host_process& host = this->start_host("a");
    this->wait_until_served(host);
    this->write_configuration(5, {"key-1", "key-3"});
    run_until(this->loop, [&] {
        const auto answer = this->ask(host, "r" + std::to_string(this->probes++), "/submit/x", "key-2");
        this->wait_for(answer);
        return answer->status == 401;
    });
    const auto answer = this->ask(host, "new-key", "/submit/x", "key-3");
    this->wait_for(answer);
    EXPECT_EQ(answer->status, 200);
    this->write_configuration(3, {"key-2"});
    const auto old = this->ask(host, "old-key", "/submit/x", "key-2");
    this->wait_for(old);
    EXPECT_EQ(old->status, 401) << "an older version never comes back";
}

// Guards against routes that are open to every key once the last account is taken away.
TEST_F(site, without_any_account_no_key_is_taken)
{
    site_host_process& host = this->start_host("a");
    site_host_process& cut_off = this->start_host("b");
    const auto status_of = [this](const site_host_process& asked, const std::string& key) {
        const auto answer = this->ask(asked, "r" + std::to_string(this->probes++), "/submit/x", key);
        this->wait_for(answer);
        return answer->status;
    };
    for (const site_host_process* asked : {&host, &cut_off}) {
        run_until(this->loop, [&] { return status_of(*asked, "key-1") == 200; });
    }
    this->shut_gate(cut_off);
    std::uint64_t version = 5;
    for (const char* accounts : {"[]", "{}", "null", R"([{"name": "one", "api-keys": "key-1"}])"}) {
        this->write_accounts(++version, accounts);
        for (const site_host_process* asked : {&host, &cut_off}) {
            run_until(this->loop, [&] { return status_of(*asked, "key-1") == 401; });
            EXPECT_EQ(status_of(*asked, "never-held"), 401) << accounts;
        }
        this->write_configuration(++version, {"key-1"});
        for (const site_host_process* asked : {&host, &cut_off}) {
            run_until(this->loop, [&] { return status_of(*asked, "key-1") == 200; });
        }
    }
    EXPECT_TRUE(has_logged(host, "bundle_accounts_unusable"));
    this->write_accounts(++version, "");
    run_until(this->loop, [&] { return status_of(host, "never-held") == 200; });
}

// Guards against requests that go to a service to which no configuration sends any.
TEST_F(site, a_route_without_a_service_to_use_refuses_its_requests_as_not_run)
{
    const site_host_process& host = this->start_host("a");
    std::string id;
    const auto wait_for_status = [&](int status) {
        run_until(this->loop, [&] {
            id = "r" + std::to_string(this->probes++);
            const auto answer = this->ask(host, id, "/submit/x");
            this->wait_for(answer);
            return answer->status == status;
        });
    };
    std::uint64_t version = 5;
    for (const char* targets : {R"([{"service": "plain", "weight": 0}])", "[]",
             R"([{"service": "plain", "weight": 0}, {"service": "gone", "weight": 0}])"}) {
        this->write_configuration(++version, {"key-1"});
        wait_for_status(200);
        json route = {
            {"name", "submit"}, {"host", "a.example"}, {"path-prefix", "/submit/"}, {"kind", "unsafe"}};
        route["traffic-split"] = json::parse(targets);
        const json bundle = {{"version", ++version}, {"routes", json::array({route})},
            {"services", json::array({{{"name", "plain"}}})}};
        this->store.put("keyed.op", "config", bundle.dump());
        wait_for_status(503);
        EXPECT_EQ(this->world.runs.count(id), 0U) << targets;
    }
}

TEST_F(site, unknown_routes_and_a_host_without_a_configuration_say_so)
{
    this->start_engines(1);
    site_host_process& host = this->start_host("a");
    run_until(this->loop, [&] {
        const auto answer = this->ask(host, "r" + std::to_string(this->probes++), "/submit/x");
        this->wait_for(answer);
        return answer->status == 200;
    });
    const auto answer = this->ask(host, "r", "/nowhere/");
    this->wait_for(answer);
    EXPECT_EQ(answer->status, 404);

    site_host_process& cut_off = this->start_host("b", {}, false);
    const auto refused = this->ask(cut_off, "s", "/submit/x");
    this->wait_for(refused);
    EXPECT_EQ(refused->status, 503);
}

TEST_F(site, an_unsafe_request_whose_answer_was_lost_is_not_sent_again)
{
    site_host_process& host = this->start_host("a");
    run_until(this->loop, [&] {
        const auto answer = this->ask(host, "r" + std::to_string(this->probes++), "/submit/x");
        this->wait_for(answer);
        return answer->status == 200;
    });
    this->services[0]->lose_answers(1);
    this->services[1]->lose_answers(1);
    const auto answer = this->ask(host, "lost", "/submit/x");
    this->wait_for(answer);
    EXPECT_EQ(answer->status, 502);
    EXPECT_EQ(this->world.runs["lost"], 1U);
}

TEST_F(site, a_host_that_the_store_turns_away_serves_on_the_word_of_its_peers)
{
    this->start_engines(3);
    site_host_process& first = this->start_host("a");
    site_host_process& second = this->start_host("b");
    this->wait_until_served(first);
    this->wait_until_served(second);
    this->shut_gate(second);
    // Alone, it would have to stop after the five seconds in which a withdrawn key may be used.
    const time_point shut = this->loop.now();
    while (this->loop.now() < shut + 5500ms) {
        const auto answer = this->ask(second, "r" + std::to_string(this->probes++), "/submit/x");
        this->wait_for(answer);
        EXPECT_EQ(answer->status, 200);
        this->loop.run_once(20ms);
    }
    EXPECT_NE(this->fetch(second, "/metrics").find("\nsailtiller_reads_store 0"), std::string::npos);
    second.process->output(); // a host leaves lines out while nobody reads its output
    const std::string metrics = this->fetch(second, "/metrics");
    EXPECT_NE(metrics.find("\nsailtiller_bundle_confirmation_age_seconds_count{source=\"host\"} "),
        std::string::npos)
        << metrics;
    this->write_configuration(9, {"key-1"});
    run_until(this->loop, [&] {
        const auto answer = this->ask(second, "r" + std::to_string(this->probes++), "/submit/x", "key-2");
        this->wait_for(answer);
        return answer->status == 401;
    });
    // Lines of the log are written beside the loop, so this one may come after the answer.
    run_until(this->loop, [&] {
        return second.process->output().find("\"peer\":\"9\",\"detail\":\"from a, known before as of ")
            != std::string::npos;
    });
}

/// Hosts that restart together each knew of the other one only, and the one that lives on went on asking them
/// at their former addresses, so that the fleet stayed in two parts.
TEST_F(site, hosts_that_restart_together_find_the_one_that_lives_on)
{
    for (const char* name : {"a", "b", "c"}) {
        this->start_host(name);
    }
    const auto hears_all = [this](const site_host_process& host) {
        return json::parse(this->fetch(host, "/status")).at("live_hosts") == json({"a", "b", "c"});
    };
    run_until(this->loop, [&] {
        return std::all_of(this->hosts.begin(), this->hosts.end(),
            [&hears_all](const auto& host) { return hears_all(*host); });
    });
    this->shut_gate(*this->hosts[2]); // only the others can find it, by its record
    for (const std::size_t number : {0U, 1U}) {
        this->hosts[number]->process->send_signal(SIGKILL);
        run_until(this->loop, [&] { return this->hosts[number]->process->exit_code().has_value(); });
    }
    // A page of the store's records names two hosts, here these.
    const site_host_process& first = this->start_host("a");
    const site_host_process& second = this->start_host("b");
    run_until(
        this->loop, [&] { return hears_all(first) && hears_all(second) && hears_all(*this->hosts[2]); });
}

// The story of tst_upstreamentries, with real processes.
TEST_F(site, hosts_agree_on_the_upstreams_after_the_store_was_away_and_dropped_their_entries)
{
    for (const char* name : {"a", "b", "c"}) {
        this->start_host(name);
    }
    const auto all_know = [this](const std::set<std::string>& names) {
        return std::all_of(this->hosts.begin(), this->hosts.end(),
            [&](const auto& host) { return this->known_upstreams(*host) == names; });
    };
    ASSERT_EQ(this->services.size(), 2U);
    const std::string leaving = this->services.front()->name();
    const std::string other = this->services.back()->name();
    run_until(this->loop, [&] { return all_know({leaving, other}); });
    for (const auto& host : this->hosts) {
        this->shut_gate(*host);
    }
    this->pass(2500ms);
    for (const auto& service : this->services) {
        this->store.put("keyed.servers", service->name(), "");
    }
    this->pass(3s);
    for (const auto& host : this->hosts) {
        *host->is_gate_open = true;
    }
    this->pass(1s);
    for (const auto& service : this->services) {
        service->write_entry();
    }
    this->pass(4s);
    EXPECT_TRUE(all_know({leaving, other})) << "what lapsed is dropped by now, if it hasn't come back";
    this->store.put("keyed.servers", leaving, "");
    this->pass(2s);
    EXPECT_TRUE(all_know({other}));
}

// The story of tst_storerestore, with real processes: the copy is from before one service left, another came
// and the orders were given out under a newer generation.
TEST_F(site, hosts_serve_on_after_the_store_came_back_from_a_copy)
{
    this->start_engines(3);
    this->start_host("a");
    this->start_host("b");
    const std::string leaving = this->services.front()->name();
    this->wait_until_served(*this->hosts.front());
    const auto copy = this->store.take_copy();
    this->start_host("c");
    for (const auto& host : this->hosts) {
        this->wait_until_served(*host);
    }
    this->write_configuration(7, {"key-1", "key-3"});
    this->store.put("keyed.servers", leaving, "");
    const auto uses_leaving = [this, &leaving](const auto& host) {
        return this->known_upstreams(*host).count(leaving) != 0;
    };
    run_until(this->loop, [&] { return std::none_of(this->hosts.begin(), this->hosts.end(), uses_leaving); });
    this->store.restore(*copy);
    const time_point restored = this->loop.now();
    while (this->loop.now() < restored + 3s) {
        EXPECT_TRUE(std::none_of(this->hosts.begin(), this->hosts.end(), uses_leaving));
        this->pass(200ms);
    }
    for (const auto& host : this->hosts) {
        const auto withdrawn = this->ask(*host, "w" + host->name, "/submit/x", "key-2");
        this->wait_for(withdrawn);
        EXPECT_EQ(withdrawn->status, 401)
            << "the copy's older configuration is not in force on " << host->name;
        EXPECT_NE(this->fetch(*host, "/metrics").find("\nsailtiller_store_era 2"), std::string::npos);
        EXPECT_TRUE(has_logged(*host, "store_history_changed"));
    }
    // Orders go on under tokens that engines take.
    const unsigned orders = this->world.orders;
    const std::uint64_t token = this->world.highest_token;
    this->engines[0]->crash();
    run_until(this->loop, [&] { return this->world.orders > orders && this->engines[0]->held_layers() > 0; });
    EXPECT_GT(this->world.highest_token, token);
    this->wait_until_served(*this->hosts.front());
    // The record of the third host was lost with the rest.
    run_until(this->loop, [this] { return this->store.newest("keyed.sailtiller-hosts").size() == 3; });
}

TEST_F(site, a_host_without_any_way_to_the_store_stops_using_keys_in_time)
{
    site_host_process& host = this->start_host("a", {"--revoke-limit-ms", "1500"});
    run_until(this->loop, [&] {
        const auto answer = this->ask(host, "r" + std::to_string(this->probes++), "/submit/x");
        this->wait_for(answer);
        return answer->status == 200;
    });
    this->shut_gate(host);
    run_until(this->loop, [&] {
        const auto answer = this->ask(host, "r" + std::to_string(this->probes++), "/submit/x");
        this->wait_for(answer);
        return answer->status == 503;
    });
    *host.is_gate_open = true;
    run_until(this->loop, [&] {
        const auto answer = this->ask(host, "r" + std::to_string(this->probes++), "/submit/x");
        this->wait_for(answer);
        return answer->status == 200;
    });
}

TEST_F(site, a_planned_stop_cuts_nothing)
{
    this->start_engines(3);
    site_host_process& host = this->start_host("a");
    this->wait_until_served(host);
    this->world.stream_events = 150;
    constexpr int streams = 5;
    std::vector<std::shared_ptr<site_answer>> answers;
    answers.reserve(streams);
    for (int number = 0; number < streams; ++number) {
        answers.push_back(this->ask(host, "r" + std::to_string(number)));
    }
    run_until(this->loop, [this] { return this->world.events_made["r4"].size() >= 5; });
    host.process->send_signal(SIGHUP);
    host.process->send_signal(SIGTERM);
    for (const auto& answer : answers) {
        this->wait_for(answer);
        EXPECT_EQ(answer->status, 200);
        EXPECT_EQ(answer->body, this->whole_stream());
    }
    run_until(this->loop, [&host] { return host.process->exit_code().has_value(); });
    EXPECT_EQ(host.process->exit_code(), 0);
}

// What users saw: streams broke off in the middle though their hosts had been told to stop seconds before
// they were sent, and nothing had failed. In order: a host is told to stop; its grace ends and it takes no
// new connection; a request is whole only now, on a connection that is open because its beginning came
// before; the host runs it; the time of the stop is over first, and the connection ends within the answer.
// Cause: the end of the grace closed the listeners and the connections at rest, but whoever read a request
// from any other connection gave it to the delivery. Evidence: of two cut streams one was taken 6.1 s after a
// signal, with a grace of 3 s and an end at 7.6 s, and of 17 more in four stops those whose beginning the log
// held were taken after the signal.
TEST_F(site, a_request_that_is_read_after_the_grace_of_a_stop_is_refused_at_once_as_not_run)
{
    this->start_engines(3);
    site_host_process& host = this->start_host("a", {"--longest-stop-ms", "3000"});
    this->wait_until_served(host);
    this->world.stream_events = 2000; // ten seconds
    raw_connection caller(host.callers);
    caller.write("POST /chat/x HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: late\r\n");
    host.process->send_signal(SIGTERM);
    run_until(this->loop, [&host] { return !raw_connection(host.callers).is_connected(); });
    caller.write("x-deadline-ms: 20000\r\nauthorization: Bearer key-1\r\nx-token-usage: 80,20\r\n"
                 "content-length: 3\r\n\r\nask");
    run_until(this->loop, [&caller] { return caller.read_to_end(); });
    const std::string& answer = caller.text();
    EXPECT_EQ(answer.substr(0, answer.find(' ', 9)), "HTTP/1.1 503") << answer.substr(0, 400);
    EXPECT_EQ(this->world.runs.count("late"), 0U) << "what was refused as not run must not have run";
    const std::string lower = to_lower(answer);
    EXPECT_NE(lower.find("\r\nconnection: close\r\n"), std::string::npos);
    EXPECT_NE(lower.find("\r\nretry-after: 0.0"), std::string::npos) << "another host can take it now";
    run_until(this->loop, [&host] { return host.process->exit_code().has_value(); });
    EXPECT_EQ(host.process->exit_code(), 0) << host.process->output();
}

// Guards against a request that may run once only, is passed on late in a stop and is cut off at its end.
TEST_F(site, a_request_that_comes_too_late_in_the_grace_of_a_stop_is_refused_as_not_run)
{
    site_host_process& host = this->start_host("a", {"--stop-grace-ms", "1500", "--longest-stop-ms", "2000"});
    run_until(this->loop, [&] {
        const auto answer = this->ask(host, "r" + std::to_string(this->probes++), "/submit/x");
        this->wait_for(answer);
        return answer->status == 200;
    });
    host.process->send_signal(SIGTERM);
    run_until(this->loop, [&host] { return has_logged(host, "stopping"); });
    const auto early = this->ask(host, "early", "/submit/x");
    this->wait_for(early);
    EXPECT_EQ(early->status, 200);
    this->pass(1400ms);
    for (const auto& service : this->services) {
        service->fall_silent();
    }
    const auto late = this->ask(host, "late", "/submit/x");
    this->wait_for(late);
    EXPECT_EQ(late->status, 503);
    EXPECT_EQ(this->world.runs.count("late"), 0U);
    run_until(this->loop, [&host] { return host.process->exit_code().has_value(); });
    EXPECT_EQ(host.process->exit_code(), 0) << host.process->output();
}

TEST_F(site, a_stream_that_comes_in_the_grace_of_a_stop_is_taken_though_it_may_outlast_the_stop)
{
    this->start_engines(3);
    site_host_process& host = this->start_host("a", {"--stop-grace-ms", "1500", "--longest-stop-ms", "2000"});
    this->wait_until_served(host);
    // Streams of 2.4 s are longer than a stop of this host.
    this->world.stream_events = 40;
    this->world.event_interval = 60ms;
    this->wait_for(this->ask(host, "long"));
    host.process->send_signal(SIGTERM);
    run_until(this->loop, [&host] { return has_logged(host, "stopping"); });
    const auto answer = this->ask(host, "late");
    this->wait_for(answer);
    EXPECT_EQ(answer->status, -1) << "it is seen to be broken off";
    EXPECT_EQ(this->world.runs.count("late"), 1U);
    run_until(this->loop, [&host] { return host.process->exit_code().has_value(); });
    const std::string& lines = host.process->output();
    const std::size_t line = lines.find("\"event\":\"broken_off\",\"request\":\"late\"");
    ASSERT_NE(line, std::string::npos) << lines;
    EXPECT_NE(lines.find(" ms after the signal", line), std::string::npos);
}

TEST_F(site, a_stream_that_the_end_of_a_stop_cuts_off_is_named_in_the_log)
{
    this->start_engines(3);
    site_host_process& host = this->start_host("a", {"--longest-stop-ms", "1000"});
    this->wait_until_served(host);
    this->world.stream_events = 2000; // ten seconds
    const auto answer = this->ask(host, "cut");
    run_until(this->loop, [this] { return this->world.events_made["cut"].size() >= 5; });
    host.process->send_signal(SIGTERM);
    this->wait_for(answer);
    EXPECT_EQ(answer->status, -1) << "it is seen to be broken off";
    run_until(this->loop, [&host] { return host.process->exit_code().has_value(); });
    EXPECT_EQ(host.process->exit_code(), 1);
    const std::string& lines = host.process->output();
    const std::size_t line = lines.find("\"event\":\"broken_off\",\"request\":\"cut\"");
    ASSERT_NE(line, std::string::npos) << lines;
    EXPECT_NE(lines.find("this host stops; it ran for ", line), std::string::npos);
    EXPECT_NE(lines.find(" and was taken before the signal", line), std::string::npos);
    EXPECT_NE(lines.find("\"cut_off\":\"1\""), std::string::npos);
}

// What callers saw: a host that stops closed their connections without a byte of answer, though it had read
// their requests and nothing had failed; they could not tell whether the request had run. In order: a host is
// told to stop; a call of a service whose upstream doesn't answer, and a stream for which no engine holds
// some layer, are under way; the time of the stop is over. Cause: the host then stopped its loop with
// whatever was under way, and the end of the process closed the connections; nobody asked the deliveries for
// their last answers, though 0.4 s are left until the process is killed. Evidence: with no more than these
// two under way, both connections ended without a byte.
TEST_F(site, what_has_no_answer_at_the_end_of_a_stop_is_told_whether_it_may_have_run)
{
    site_host_process& host = this->start_host("a", {"--longest-stop-ms", "1000"});
    run_until(this->loop, [&] {
        const auto answer = this->ask(host, "r" + std::to_string(this->probes++), "/submit/x");
        this->wait_for(answer);
        return answer->status == 200;
    });
    for (const auto& service : this->services) {
        service->fall_silent();
    }
    const auto sent = this->ask(host, "sent", "/submit/x");
    run_until(this->loop, [this] { return this->world.runs.count("sent") > 0; });
    // One that has come back is held for 1.5 s, three objectives; the time of the stop is over after 0.6 s.
    raw_connection held(host.callers);
    held.write("POST /chat/x HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: held\r\nx-deadline-ms: 20000\r\n"
               "authorization: Bearer key-1\r\nx-token-usage: 80,20\r\nlast-event-id: 3\r\n"
               "content-length: 3\r\n\r\nask");
    host.process->send_signal(SIGTERM);
    this->wait_for(sent);
    EXPECT_EQ(sent->status, 502) << "it may have run, so nothing may be promised";
    run_until(this->loop, [&held] { return held.read_to_end(); });
    const std::string& answer = held.text();
    EXPECT_EQ(answer.substr(0, answer.find(' ', 9)), "HTTP/1.1 503") << answer;
    EXPECT_NE(to_lower(answer).find("\r\nretry-after: 0.05"), std::string::npos)
        << "another host can take it now";
    run_until(this->loop, [&host] { return host.process->exit_code().has_value(); });
    EXPECT_EQ(host.process->exit_code(), 1);
    EXPECT_NE(host.process->output().find("\"cut_off\":\"0\""), std::string::npos) << "none had begun";
}

TEST_F(site, changed_settings_are_taken_over_with_and_without_a_signal)
{
    const std::string path = "/tmp/sailtiller-site-settings-" + std::to_string(getpid());
    const auto write = [&path](const std::string& level) {
        std::ofstream(path) << "log-level=" << level << "\n";
    };
    write("info");
    site_host_process& host = this->start_host("a", {"--config", path});
    const auto has_said = [&host](const std::string& part) {
        return host.process->output().find(part) != std::string::npos;
    };
    const auto count_done = [&host] {
        const std::string& text = host.process->output();
        const std::string mark = "\"outcome\":\"done\"";
        std::size_t count = 0;
        for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at + 1)) {
            ++count;
        }
        return count;
    };
    run_until(this->loop, [&] { return count_done() == 1; });
    write("loud");
    run_until(this->loop, [&] { return has_said("kept the old settings"); });
    EXPECT_TRUE(has_said("'loud'"));
    write("info");
    run_until(this->loop, [&] { return count_done() == 2; });
    host.process->send_signal(SIGHUP);
    run_until(this->loop, [&] { return count_done() == 3; });
    run_until(this->loop, [&] {
        const auto ready = this->ask(host, "r" + std::to_string(this->probes++), "/submit/x");
        this->wait_for(ready);
        return ready->status == 200;
    });
    host.process->send_signal(SIGHUP);
    const auto answer = this->ask(host, "r", "/submit/x");
    this->wait_for(answer);
    EXPECT_EQ(answer->status, 200) << "a reload disturbs no request";
    std::remove(path.c_str());
}

TEST_F(site, the_next_host_gives_the_orders_when_the_one_that_did_is_killed)
{
    this->start_engines(3);
    site_host_process& first = this->start_host("a");
    site_host_process& second = this->start_host("b");
    this->wait_until_served(first);
    this->wait_until_served(second);
    const std::uint64_t token = this->world.highest_token;
    const unsigned orders = this->world.orders;
    first.process->send_signal(SIGKILL);
    this->engines[0]->kill();
    this->store.put("keyed.servers", "x0", "");
    this->engines[3]->kill();
    this->store.put("keyed.servers", "y0", "");
    for (const char* hall : {"x", "y"}) {
        this->engines.push_back(std::make_unique<standins::path_engine>(
            this->loop, this->store, this->world, std::string("new") + hall, hall));
    }
    run_until(this->loop, [this, orders] { return this->world.orders > orders; });
    EXPECT_GT(this->world.highest_token, token);
    this->wait_until_served(second);
}

} // namespace

} // namespace sailtiller::tests
