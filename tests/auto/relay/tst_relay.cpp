// SPDX-License-Identifier: Apache-2.0
// Relaying between hosts that share the test's loop, over real connections.
#include <relay/relayclient.h>
#include <relay/relayservice.h>
#include <runtime/httpcall.h>
#include <runtime/httpserver.h>
#include <support/looprunner.h>

#include <thread>
#include <utility>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;
using tests::run_until;

/// Within this an upstream must be free of a request whose caller has left.
constexpr duration leave_limit = 500ms;
/// Within this a relaying host that has fallen silent must be left.
constexpr duration silence_detection_time = 500ms;
const upstream_group group{service_id("llm"), data_hall_id("x")};

/// A host that relays.
struct relaying_peer
{
    std::unique_ptr<relay_service> service;
    std::unique_ptr<http_server> server;
    endpoint address;
    bool knows_asker = true;
    std::optional<relay_obstacle> obstacle;
    bool can_connect = true;
    bool closes_next = false; ///< the connection of the next request, once it was read
    /// Headers of answers that end with the acceptance, and leave the connection open.
    std::optional<http_headers> silent_answer;
    std::vector<std::shared_ptr<http_exchange>> silent;
    std::vector<int> heads; ///< statuses of the upstream's answers
};

class relay_test : public testing::Test
{
protected:
    relay_test()
    {
        this->upstream = std::make_unique<http_server>(this->loop, http_server_limits{}, std::nullopt,
            [this](const std::shared_ptr<http_exchange>& exchange) { this->arrived.push_back(exchange); });
        this->upstream_address = this->upstream->listen(endpoint("127.0.0.1:0"));
        relay_client_hooks hooks;
        hooks.random = make_seeded_random(3);
        hooks.list_candidates = [this](const upstream_group&) { return this->candidates; };
        hooks.is_up = [this](const host_id& id) { return !this->gone.contains(id); };
        hooks.on_no_way = [this](const host_id& id, const upstream_group&) { this->without_way.insert(id); };
        hooks.on_lost = [this](relay_loss cause) { this->losses.push_back(cause); };
        hooks.log = [](const delivery_event&) {};
        this->client = std::make_unique<relay_client>(this->loop, relay_client_settings{}, hooks);
    }

    relaying_peer& add_peer(const std::string& name, relay_service_settings settings = {})
    {
        this->peers.push_back(std::make_unique<relaying_peer>());
        relaying_peer& peer = *this->peers.back();
        relay_service_hooks hooks;
        hooks.timers = this->loop.hooks();
        hooks.is_host = [&peer](const endpoint&) { return peer.knows_asker; };
        hooks.find_obstacle = [&peer](const upstream_target&) { return peer.obstacle; };
        hooks.send = [this, &peer](const upstream_target& target, const http_request& request, bool,
                         http_call_handlers handlers) -> cancel_call {
            const endpoint address = peer.can_connect ? target.address : endpoint("127.0.0.1:1");
            const auto call = http_call::start(this->loop, address, request, {}, std::move(handlers));
            return [call] { call->cancel(); };
        };
        hooks.on_head = [&peer](const upstream_target&, int status, const http_headers&, time_point) {
            peer.heads.push_back(status);
        };
        hooks.log = [](const delivery_event&) {};
        peer.service = std::make_unique<relay_service>(settings, hooks);
        peer.server = std::make_unique<http_server>(this->loop, http_server_limits{}, std::nullopt,
            [&peer](const std::shared_ptr<http_exchange>& exchange) {
                if (std::exchange(peer.closes_next, false)) {
                    exchange->start(200, {});
                    exchange->abort();
                    return;
                }
                if (peer.silent_answer) {
                    exchange->start(200, *peer.silent_answer);
                    exchange->send(relay_accepted_line);
                    peer.silent.push_back(exchange);
                    return;
                }
                peer.service->handle(exchange);
            });
        peer.address = peer.server->listen(endpoint("127.0.0.1:0"));
        const auto number = static_cast<unsigned>(this->candidates.size());
        this->candidates.push_back({host_id(name), peer.address, true, number});
        return peer;
    }

    void send(bool may_repeat = true)
    {
        http_request request;
        request.method = "POST";
        request.path = "/x?y=z";
        request.headers = {{"host", "a.example"}, {"x-any", "1"}};
        request.body = "question";
        http_call_handlers handlers;
        handlers.may_send = [this] { return this->may_send; };
        if (may_repeat) {
            handlers.may_resend = [this] {
                ++this->resends;
                return true;
            };
        }
        handlers.on_head = [this](int status, const http_headers& headers) {
            this->status = status;
            this->headers = headers;
        };
        handlers.on_body = [this](std::string_view bytes) { this->body += bytes; };
        handlers.on_end = [this](call_ending ending, const std::string& reason) {
            this->ending = ending;
            this->reason = reason;
        };
        this->cancel = this->client->send({upstream_id("u"), this->upstream_address, request_id("r")}, group,
            request, may_repeat, std::move(handlers));
    }

    void run_to_end()
    {
        run_until(this->loop, [this] { return this->ending.has_value(); });
    }

    void run_to_arrival()
    {
        run_until(this->loop, [this] { return !this->arrived.empty(); });
    }

    /// The upstream closes the connection of the request without an answer.
    void break_off_before_answer()
    {
        this->run_to_arrival();
        this->arrived.front()->start(200, {});
        this->arrived.front()->abort();
        this->run_to_end();
    }

    void pass(duration time)
    {
        const time_point end = this->loop.now() + time;
        while (this->loop.now() < end) {
            this->loop.run_once(5ms);
        }
    }

    event_loop loop;
    std::unique_ptr<http_server> upstream;
    endpoint upstream_address;
    std::vector<std::shared_ptr<http_exchange>> arrived; ///< at the upstream
    std::vector<std::unique_ptr<relaying_peer>> peers;
    std::vector<relay_candidate> candidates;
    std::set<host_id> gone; ///< for the fleet
    std::vector<relay_loss> losses;
    std::set<host_id> without_way; ///< as told by refusals
    std::unique_ptr<relay_client> client;
    bool may_send = true;
    unsigned resends = 0;
    cancel_call cancel;
    int status = 0;
    http_headers headers;
    std::string body;
    std::optional<call_ending> ending;
    std::string reason;
};

TEST_F(relay_test, request_and_answer_pass_unchanged)
{
    relaying_peer& peer = this->add_peer("p");
    this->send();
    this->run_to_arrival();
    const http_request& received = this->arrived.front()->request();
    EXPECT_EQ(received.method, "POST");
    EXPECT_EQ(received.path, "/x?y=z");
    EXPECT_EQ(received.authority, "a.example");
    EXPECT_EQ(received.body, "question");
    EXPECT_EQ(find_header(received.headers, "x-any"), "1");
    EXPECT_FALSE(find_header(received.headers, "sailtiller-relay-upstream"));
    this->arrived.front()->start(207, {{"x-proof", "p"}});
    for (const char* event : {"id: 0\n\n", "id: 1\n\n"}) {
        this->arrived.front()->send(event);
        const std::size_t length = this->body.size();
        run_until(this->loop, [this, length] { return this->body.size() > length; });
    }
    EXPECT_FALSE(this->ending);
    this->arrived.front()->finish();
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::whole);
    EXPECT_EQ(this->status, 207);
    EXPECT_EQ(find_header(this->headers, "x-proof"), "p");
    EXPECT_EQ(this->body, "id: 0\n\nid: 1\n\n");
    EXPECT_EQ(peer.heads, std::vector{207});
    EXPECT_EQ(peer.service->calls_in_progress(), 0U);
    EXPECT_EQ(this->client->calls_in_progress(), 0U);
}

TEST_F(relay_test, an_answer_that_breaks_off_does_not_look_whole)
{
    this->add_peer("p");
    this->send();
    this->run_to_arrival();
    this->arrived.front()->start(200, {});
    this->arrived.front()->send("id: 0\n\n");
    run_until(this->loop, [this] { return !this->body.empty(); });
    this->arrived.front()->abort();
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::broken);
}

TEST_F(relay_test, a_request_that_may_have_left_is_not_sent_by_a_second_host)
{
    this->add_peer("p");
    this->add_peer("q");
    this->send(false);
    this->break_off_before_answer();
    EXPECT_EQ(this->ending, call_ending::broken);
    EXPECT_EQ(this->arrived.size(), 1U);
}

TEST_F(relay_test, an_upstream_that_breaks_off_before_its_answer_leaves_its_relaying_host_in_use)
{
    this->add_peer("p");
    this->send(false);
    this->break_off_before_answer();
    EXPECT_EQ(this->ending, call_ending::broken);
    EXPECT_TRUE(this->client->has_candidate(group));
}

TEST_F(relay_test, a_request_that_went_out_twice_is_not_taken_as_not_sent)
{
    relaying_peer& peer = this->add_peer("p");
    this->send();
    this->run_to_arrival();
    this->arrived.front()->respond({200, {}, "answer"});
    this->run_to_end();
    // The first copy, over the kept connection, may have been passed on before that closed.
    peer.closes_next = true;
    peer.obstacle = relay_obstacle{"not now"};
    this->ending.reset();
    this->send();
    this->run_to_end();
    EXPECT_EQ(this->resends, 1U);
    EXPECT_EQ(this->ending, call_ending::relay_lost);
}

TEST_F(relay_test, a_host_that_can_not_connect_or_refuses_is_followed_by_the_next)
{
    this->add_peer("p").can_connect = false;
    this->add_peer("q");
    this->send(false);
    this->run_to_arrival();
    this->arrived.front()->respond({200, {}, "answer"});
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::whole);
    EXPECT_EQ(this->body, "answer");
    this->peers.front()->obstacle = relay_obstacle{"none of mine"};
    this->ending.reset();
    this->send(false);
    run_until(this->loop, [this] { return this->arrived.size() == 2; });
    this->arrived.back()->respond({200, {}, "answer"});
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::whole);
}

TEST_F(relay_test, an_upstream_that_two_hosts_can_not_reach_counts_as_not_connected)
{
    for (const char* name : {"p", "q", "r"}) {
        this->add_peer(name).can_connect = false;
    }
    this->send(false);
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::not_connected);
    EXPECT_TRUE(this->client->has_candidate(group)) << "no host is at fault";
}

TEST_F(relay_test, hosts_that_have_lost_their_own_way_lately_do_not_use_up_the_hosts_that_are_tried)
{
    for (const char* name : {"p", "q", "r", "s"}) {
        this->add_peer(name).obstacle = relay_obstacle{"no way", true};
        this->candidates.back().data_hall = data_hall_id("x");
    }
    this->add_peer("t");
    this->candidates.back().relayed_calls = 60;
    this->candidates.back().data_hall = data_hall_id("y");
    this->send(false);
    this->run_to_arrival();
    this->arrived.front()->respond({200, {}, "answer"});
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::whole);
    EXPECT_EQ(this->without_way, std::set{host_id("p")}) << "the next one is of another hall";
    this->peers.back()->obstacle = relay_obstacle{"not now"};
    this->ending.reset();
    this->send(false);
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::not_connected);
    EXPECT_EQ(this->without_way.size(), 4U) << "none of them uses up a trial";
}

TEST_F(relay_test, without_a_host_a_request_ends_at_once_as_not_connected)
{
    this->send();
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::not_connected);
}

TEST_F(relay_test, a_request_that_may_no_longer_be_sent_is_held_back)
{
    this->add_peer("p");
    this->may_send = false;
    this->send(false);
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::not_connected);
    EXPECT_TRUE(this->arrived.empty());
}

TEST_F(relay_test, nothing_is_relayed_for_others_than_hosts)
{
    this->add_peer("p").knows_asker = false;
    this->send();
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::not_connected);
    EXPECT_TRUE(this->arrived.empty());
}

TEST_F(relay_test, a_malformed_request_gets_a_clear_error)
{
    relaying_peer& peer = this->add_peer("p");
    http_request request;
    request.method = "GET";
    request.path = "/";
    int answered = 0;
    http_call_handlers handlers;
    handlers.on_head = [&answered](int status, const http_headers&) { answered = status; };
    handlers.on_body = [](std::string_view) {};
    handlers.on_end = [this](call_ending end, const std::string&) { this->ending = end; };
    http_call::start(this->loop, peer.address, request, {}, handlers);
    this->run_to_end();
    EXPECT_EQ(answered, 400);
}

TEST_F(relay_test, the_upstream_is_free_soon_after_the_caller_has_left)
{
    relaying_peer& peer = this->add_peer("p");
    this->send(false);
    this->run_to_arrival();
    this->cancel();
    const time_point left = this->loop.now();
    run_until(this->loop, [this] { return this->arrived.front()->has_caller_left(); });
    EXPECT_LT(this->loop.now() - left, leave_limit);
    EXPECT_EQ(peer.service->calls_in_progress(), 0U);
    EXPECT_FALSE(this->ending) << "no handler runs after the cancellation";
}

TEST_F(relay_test, a_host_that_is_lost_is_not_taken_for_an_upstream_that_breaks_off)
{
    relaying_peer& peer = this->add_peer("p");
    this->send();
    this->run_to_arrival();
    this->arrived.front()->respond({200, {}, "answer"});
    this->run_to_end();
    this->ending.reset();
    this->send(false);
    run_until(this->loop, [this] { return this->arrived.size() == 2; });
    ASSERT_EQ(peer.server->connection_count(), 2U);
    peer.service->end_for_stop();
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::relay_lost);
    EXPECT_EQ(this->losses, std::vector{relay_loss::ended});
    // A request over a connection that was kept to the lost host would count as run.
    run_until(this->loop, [&peer] { return peer.server->connection_count() == 0; });
}

// Guards against a second run that is lost because it is sent to a host that is just ending.
TEST_F(relay_test, a_host_whose_connection_ended_gets_no_request_until_it_would_refuse_connections)
{
    relaying_peer& peer = this->add_peer("p");
    this->send(false);
    this->run_to_arrival();
    peer.service->end_for_stop();
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::relay_lost);
    EXPECT_FALSE(this->client->has_candidate(group));
    this->pass(relay_client_settings().pause_after_loss);
    EXPECT_TRUE(this->client->has_candidate(group)) << "only its connection may have been lost";
}

TEST_F(relay_test, calls_by_way_of_a_silent_host_end_as_lost_with_it)
{
    relaying_peer& peer = this->add_peer("p");
    peer.silent_answer = {make_keep_alive_header()};
    this->send();
    run_until(this->loop, [&peer] { return !peer.silent.empty(); });
    const time_point accepted = this->loop.now();
    this->run_to_end();
    EXPECT_LT(this->loop.now() - accepted, silence_detection_time);
    EXPECT_EQ(this->ending, call_ending::relay_lost);
    EXPECT_EQ(this->losses, std::vector{relay_loss::silent});
    EXPECT_FALSE(this->client->has_candidate(group)) << "it is avoided for a while";
    EXPECT_EQ(this->client->calls_in_progress(), 0U);
}

TEST_F(relay_test, a_silent_upstream_does_not_end_a_call_whose_host_the_fleet_has_not_heard_lately)
{
    this->add_peer("p");
    this->gone.insert(host_id("p"));
    this->send();
    this->run_to_arrival();
    this->pass(3 * silence_detection_time);
    EXPECT_FALSE(this->ending);
    this->arrived.front()->start(200, {});
    this->pass(3 * silence_detection_time);
    EXPECT_FALSE(this->ending);
    this->arrived.front()->send("answer");
    this->arrived.front()->finish();
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::whole);
    EXPECT_EQ(this->body, "answer");
    EXPECT_EQ(this->arrived.size(), 1U);
}

TEST_F(relay_test, a_delay_of_the_own_loop_is_not_taken_for_silence_of_the_other_host)
{
    this->add_peer("p");
    this->send();
    this->run_to_arrival();
    for (int count = 0; count < 3; ++count) {
        std::this_thread::sleep_for(2 * silence_detection_time);
        this->pass(100ms);
        EXPECT_FALSE(this->ending);
    }
}

TEST_F(relay_test, a_host_of_a_release_without_keep_alives_is_lost_once_the_fleet_counts_it_as_gone)
{
    relaying_peer& peer = this->add_peer("p");
    peer.silent_answer.emplace();
    this->send();
    run_until(this->loop, [&peer] { return !peer.silent.empty(); });
    this->pass(2 * silence_detection_time);
    EXPECT_FALSE(this->ending);
    this->gone.insert(host_id("p"));
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::relay_lost);
    EXPECT_EQ(this->losses, std::vector{relay_loss::silent});
    EXPECT_FALSE(this->client->has_candidate(group)) << "it is avoided for a while";
}

TEST_F(relay_test, a_host_takes_no_more_calls_than_it_may_and_none_while_it_stops)
{
    relay_service_settings settings;
    settings.max_calls = 1;
    relaying_peer& peer = this->add_peer("p", settings);
    this->send(false);
    this->run_to_arrival();
    this->send(false);
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::not_connected);
    this->arrived.front()->respond({200, {}, "answer"});
    run_until(this->loop, [this] { return this->client->calls_in_progress() == 0; });
    peer.service->begin_stop();
    this->ending.reset();
    this->send(false);
    this->run_to_end();
    EXPECT_EQ(this->ending, call_ending::not_connected);
    EXPECT_EQ(this->arrived.size(), 1U);
}

TEST_F(relay_test, calls_are_spread_over_the_hosts)
{
    this->add_peer("p");
    this->add_peer("q");
    for (relay_candidate& candidate : this->candidates) {
        candidate.relayed_calls = 0;
    }
    constexpr std::size_t count = 8;
    for (std::size_t number = 0; number < count; ++number) {
        this->send(false);
    }
    run_until(this->loop, [this] { return this->arrived.size() == count; });
    EXPECT_EQ(this->peers[0]->service->calls_in_progress(), count / 2);
    EXPECT_EQ(this->peers[1]->service->calls_in_progress(), count / 2);
    for (const auto& exchange : this->arrived) {
        exchange->respond({200, {}, ""});
    }
    run_until(this->loop, [this] { return this->client->calls_in_progress() == 0; });
}

} // namespace

} // namespace sailtiller
