// SPDX-License-Identifier: Apache-2.0
#include <runtime/peerclient.h>
#include <runtime/peerserver.h>
#include <runtime/socketaddress.h>
#include <support/looprunner.h>

#include <unistd.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;
using tests::run_until;

class peer_test : public testing::Test
{
protected:
    void start_server()
    {
        this->server = std::make_unique<peer_server>(this->loop,
            [this](const std::string& method, const std::string& body) -> std::optional<std::string> {
                ++this->questions;
                if (method == "refuse") {
                    return std::nullopt;
                }
                return method + ":" + body;
            });
        this->address = this->server->listen(this->address);
    }

    void ask(const std::string& method, const std::string& body)
    {
        this->client.ask(
            this->address, method, body, 5s,
            [this](const std::string& reply) { this->replies.push_back(reply); },
            [this](const peer_failure& failure) { this->failures.push_back(failure); });
    }

    void run_to_end_of(std::size_t asked)
    {
        run_until(this->loop, [&] { return this->replies.size() + this->failures.size() == asked; });
    }

    event_loop loop;
    endpoint address{"127.0.0.1:0"};
    std::unique_ptr<peer_server> server;
    peer_client client{this->loop, 2s};
    int questions = 0;
    std::vector<std::string> replies;
    std::vector<peer_failure> failures;
};

TEST_F(peer_test, carries_many_questions_over_one_connection)
{
    this->start_server();
    for (int question = 0; question < 300; ++question) {
        this->ask("echo", std::to_string(question));
    }
    this->run_to_end_of(300);
    EXPECT_EQ(this->failures.size(), 0U);
    EXPECT_EQ(this->questions, 300);
}

TEST_F(peer_test, carries_a_body_larger_than_the_windows)
{
    this->start_server();
    const std::string large(20U << 20U, 'x');
    this->ask("echo", large);
    this->run_to_end_of(1);
    ASSERT_EQ(this->replies.size(), 1U);
    EXPECT_EQ(this->replies[0].size(), large.size() + 5);
}

TEST_F(peer_test, a_question_that_cannot_be_answered_fails)
{
    this->start_server();
    this->ask("refuse", "");
    this->run_to_end_of(1);
    ASSERT_EQ(this->failures.size(), 1U);
}

TEST_F(peer_test, a_peer_that_is_not_there_was_not_sent_anything)
{
    this->start_server();
    this->server.reset();
    this->ask("echo", "a");
    this->run_to_end_of(1);
    ASSERT_EQ(this->failures.size(), 1U);
    EXPECT_EQ(this->failures[0].kind, peer_failure_kind::not_sent);
}

TEST_F(peer_test, a_peer_that_comes_back_is_asked_again)
{
    this->start_server();
    this->ask("echo", "a");
    this->run_to_end_of(1);
    this->server.reset();
    this->start_server();
    std::size_t asked = 1;
    run_until(this->loop, [&] {
        if (this->replies.size() + this->failures.size() == asked) {
            ++asked;
            this->ask("echo", "b");
        }
        return this->replies.size() > 1;
    });
    EXPECT_EQ(this->replies.back(), "echo:b");
}

TEST_F(peer_test, a_peer_that_never_answers_leaves_nothing_behind)
{
    // Connections are taken by the system and nobody reads them.
    const listening_socket silent = open_listening_socket(endpoint("127.0.0.1:0"));
    this->client.ask(
        silent.address, "echo", "a", 50ms, [](const std::string&) { FAIL(); },
        [this](const peer_failure& failure) { this->failures.push_back(failure); });
    this->run_to_end_of(1);
    EXPECT_EQ(this->client.questions_open(), 0U);
    close(silent.descriptor);
}

} // namespace

} // namespace sailtiller
