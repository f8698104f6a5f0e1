// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>
#include <support/sampleprofile.h>

#include <gtest/gtest.h>

namespace sailtiller::tests {

/// Captured send to an upstream, with its answer handlers.
struct fake_send
{
    endpoint target;
    http_request message;
    bool may_repeat = false;
    http_call_handlers handlers;
    bool is_cancelled = false;
};

/// Answer as received by one caller.
struct fake_caller
{
    std::optional<http_response> answer; ///< complete answer
    std::optional<int> status; ///< status of a started answer
    std::string body;
    bool is_finished = false;
    bool is_aborted = false;
    bool has_left = false;
};

/// Runs deliveries with fake upstreams and a manual clock. Requests are encoded as their target's address; a
/// path and a last event are encoded as headers.
class delivery_fixture : public testing::Test
{
public:
    delivery_fixture();
    /// Ends the calls left open by a test: each call and its delivery reference each other.
    ~delivery_fixture() override;
    delivery_fixture(const delivery_fixture&) = delete;
    delivery_fixture& operator=(const delivery_fixture&) = delete;

protected:
    delivery_context make_context();
    /// Engine of the sample profile with the address "10.0.0.1:" and its number.
    void put_engine(const std::string& id, int number, layer_span held, const std::string& hall = "x",
        const std::string& card = "big");
    void put_service(const std::string& id, int number, const std::string& hall = "x");
    delivery_order make_order(route_kind kind);
    caller_hooks make_caller();
    void pass(duration time);

    fake_send& last_send() { return *this->sends.back(); }
    /// Delivers an answer head of the upstream.
    static void give_head(fake_send& send, int status, const http_headers& headers = {});
    static http_headers signed_head(const std::string& id = "r1");
    /// Returns complete events with ids from `first` up to `end`, exclusive.
    static std::string events(unsigned first, unsigned end);
    static void end(fake_send& send, call_ending ending = call_ending::whole);
    [[nodiscard]] static std::string path_of(const fake_send& send);

    time_point now{std::chrono::seconds(1000)};
    timer_queue timers;
    upstream_directory directory{std::chrono::seconds(2)};
    engine_loads loads;
    retry_allowance retries{{.ratio = 1, .slack = 100, .window = std::chrono::seconds(10)}};
    pipe_meter pipes;
    crash_suspects suspects;
    upstream_limits limits;
    upstream_pauses pauses;
    std::vector<std::string> leaving; ///< upstreams that announced leaving, in order
    std::unique_ptr<limit_client> holder;
    /// Share of a limit that this host is granted per query.
    unsigned grant = 0;
    /// Requested trials with their answer callbacks.
    std::vector<std::pair<suspect_list, std::function<void(bool)>>> claims;
    std::vector<std::string> probed;
    std::unique_ptr<stall_detector> watch;
    std::unique_ptr<delivery_context> context;
    std::vector<std::shared_ptr<fake_send>> sends;
    std::vector<path_change> changes;
    std::vector<std::function<void(const path_change_answer&)>> change_answers;
    std::shared_ptr<site_bundle> bundle = std::make_shared<site_bundle>();
    fake_caller caller;
    bool may_send = true;
    int done = 0;
};

} // namespace sailtiller::tests
