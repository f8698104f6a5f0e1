// SPDX-License-Identifier: Apache-2.0
// Planned and unplanned ends of hosts.
#include "fleetbed.h"
#include "rawconnection.h"

#include <csignal>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;
using standins::engine_standin;
using standins::expected_text;

class stops : public fleet_bed
{
};

TEST_F(stops, a_planned_stop_cuts_off_no_request_in_flight)
{
    this->start_engines(5ms);
    bed_host& host = this->start_host("a", {"--request-time-ms", "1000"});
    this->activate("one", {&host});
    constexpr std::size_t requests = 10;
    std::vector<std::shared_ptr<http_response>> answers;
    answers.reserve(requests);
    for (std::size_t request = 0; request < requests; ++request) {
        answers.push_back(this->ask(host, std::to_string(request)));
    }
    run_until(this->loop, [&] { return this->total(&engine_standin::steps) >= 40; });
    host.process->send_signal(SIGTERM);
    run_until(this->loop, [&] { return host.process->exit_code().has_value(); });
    EXPECT_EQ(host.process->exit_code(), 0);
    run_until(this->loop, [&] { return answers.back()->status != 0; });
    for (std::size_t request = 0; request < answers.size(); ++request) {
        EXPECT_EQ(answers[request]->status, 200);
        EXPECT_EQ(text_of(*answers[request]), expected_text(std::to_string(request), bed_layers, 30));
        EXPECT_EQ(find_header(answers[request]->headers, "connection"), "close");
    }
    const auto late = this->ask(host, "late");
    run_until(this->loop, [&] { return late->status != 0; });
    EXPECT_EQ(late->status, -1) << "no new connection is taken";
}

// What users saw: a completion ended without an answer though its host had been told to stop seconds before
// it was sent, and nothing had failed. In order: a host that follows signed bundles is told to stop; its
// grace ends and it takes no new connection; a request is whole only now, on a connection that is open
// because its beginning came before; the host runs it; the time of the stop is over first, and the connection
// ends without an answer. Cause: the end of the grace closes the listeners only, and whoever reads a request
// from a connection that is open gives it to the entry service, which knows of no stop. Evidence: this test,
// in which the request is sent so; its engines take the first steps for it.
TEST_F(stops, a_request_that_is_read_after_the_grace_is_refused_at_once_as_not_run)
{
    this->start_engines(100ms);
    bed_host& host = this->start_host("a", {"--longest-stop-ms", "3000"});
    this->activate("one", {&host});
    raw_connection caller(host.callers);
    const std::string body = json({{"model", "model-0"}, {"max_tokens", 100}, {"prompt", "late"}}).dump();
    caller.write("POST /v1/completions HTTP/1.1\r\nhost: a.example\r\nauthorization: Bearer key-0\r\n");
    host.process->send_signal(SIGTERM);
    run_until(this->loop, [&host] { return !raw_connection(host.callers).is_connected(); });
    caller.write("content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    run_until(this->loop, [&caller] { return caller.read_to_end(); });
    const std::string& answer = caller.text();
    EXPECT_EQ(answer.substr(0, answer.find(' ', 9)), "HTTP/1.1 503") << answer.substr(0, 400);
    EXPECT_EQ(this->total(&engine_standin::steps), 0U) << "what was refused as not run must not have run";
    EXPECT_NE(answer.find("x-sailtiller-outcome: not-run"), std::string::npos);
    EXPECT_NE(answer.find("\"outcome\":\"not-run\""), std::string::npos);
    EXPECT_NE(answer.find("retry-after: 1\r\n"), std::string::npos) << "another host can take it now";
    EXPECT_NE(answer.find("onnection: close\r\n"), std::string::npos);
    run_until(this->loop, [&host] { return host.process->exit_code().has_value(); });
    EXPECT_EQ(host.process->exit_code(), 0) << host.process->output();
}

TEST_F(stops, a_connection_at_rest_does_not_keep_a_host_from_stopping)
{
    this->start_engines(0ms);
    bed_host& host = this->start_host("a", {"--longest-stop-ms", "3000"});
    this->activate("one", {&host});
    raw_connection caller(host.callers);
    caller.write("GET /v1/models HTTP/1.1\r\nhost: a.example\r\nauthorization: Bearer key-0\r\n\r\n");
    run_until(this->loop, [&caller] {
        EXPECT_FALSE(caller.read_to_end()) << "it is kept";
        return caller.text().find("model-0") != std::string::npos;
    });
    host.process->send_signal(SIGTERM);
    run_until(this->loop, [&host] { return host.process->exit_code().has_value(); });
    EXPECT_EQ(host.process->exit_code(), 0) << "a host that waits for it is out of time after 3 s";
    EXPECT_TRUE(caller.read_to_end());
}

TEST_F(stops, a_request_that_the_end_of_a_stop_cuts_off_is_named_in_the_log)
{
    this->start_engines(100ms);
    bed_host& host = this->start_host("a", {"--longest-stop-ms", "1000"});
    this->activate("one", {&host});
    const auto answer = this->ask(host, "cut", {}, 100);
    run_until(this->loop, [this] { return this->total(&engine_standin::steps) >= 4; });
    host.process->send_signal(SIGTERM);
    run_until(this->loop, [&] { return answer->status != 0 && host.process->exit_code().has_value(); });
    EXPECT_EQ(answer->status, -1) << "it is seen to be broken off";
    EXPECT_EQ(host.process->exit_code(), 1);
    const std::string& lines = host.process->output();
    const std::size_t line = lines.find("\"event\":\"broken_off\",\"request\":\"");
    ASSERT_NE(line, std::string::npos) << lines;
    EXPECT_NE(lines.find("this host stops; it ran for ", line), std::string::npos);
    EXPECT_NE(lines.find(" and was taken before the signal", line), std::string::npos);
    EXPECT_NE(lines.find("\"cut_off\":\"1\""), std::string::npos);
}

TEST_F(stops, a_host_that_was_killed_comes_back_under_the_same_generation)
{
    this->start_engines(0ms);
    bed_host& host = this->start_host("a");
    this->activate("one", {&host});
    this->activate("two", {&host});
    host.process->send_signal(SIGKILL);
    run_until(this->loop, [&] { return host.process->exit_code().has_value(); });
    bed_host& again = this->start_host("a");
    this->wait_until_generation(again, 2);
    EXPECT_EQ(this->status_of(again)["bundle"], "two");
}

} // namespace

} // namespace sailtiller::tests
