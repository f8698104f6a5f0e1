// SPDX-License-Identifier: Apache-2.0
// Engines that stand still for seconds and go on, before real hosts, while the configuration changes in
// series.
#include "sitebed.h"

#include <algorithm>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

/// Longer than hosts need for a verdict and a second of waiting, shorter than callers wait for an event.
constexpr duration stillness = 1700ms;
/// Between two changes of the configuration.
constexpr duration change_interval = 200ms;

class silent_engines : public site_bed
{
protected:
    /// Streams of which each takes two seconds, at all hosts.
    void start_streams(unsigned count)
    {
        this->world.stream_events = 200;
        this->world.event_interval = 10ms;
        for (unsigned number = 0; number < count; ++number) {
            const auto& host = *this->hosts[number % this->hosts.size()];
            this->answers.push_back(this->ask(host, "r" + std::to_string(number)));
        }
    }

    /// Time passes, and the configuration changes.
    void pass_with_changes(duration time)
    {
        const time_point end = this->loop.now() + time;
        while (this->loop.now() < end) {
            this->write_configuration(++this->version, {"key-1"});
            this->pass(change_interval);
        }
    }

    /// Engines that lead streams now, or could.
    [[nodiscard]] std::vector<standins::path_engine*> leaders() const
    {
        std::vector<standins::path_engine*> found;
        for (const auto& engine : this->engines) {
            if (engine->holds(0, 1)) {
                found.push_back(engine.get());
            }
        }
        return found;
    }

    std::vector<std::shared_ptr<site_answer>> answers;
    std::uint64_t version = 1;
};

// One run after the other falls to an engine that is silent for longer than a second.
TEST_F(silent_engines, streams_whose_runs_are_used_up_are_not_cut_while_their_engine_stands_still)
{
    this->start_engines(3);
    for (const char* name : {"a", "b"}) {
        this->wait_until_served(this->start_host(name));
    }
    this->start_streams(12);
    this->pass_with_changes(400ms);
    const std::vector<standins::path_engine*> heads = this->leaders();
    ASSERT_GE(heads.size(), 2U);
    const auto busiest = std::max_element(heads.begin(), heads.end(),
        [](const auto* one, const auto* other) { return one->streams_led() < other->streams_led(); });
    (*busiest)->stand_still(stillness);
    this->pass_with_changes(400ms);
    for (standins::path_engine* head : heads) {
        head->stand_still(stillness);
    }
    this->pass_with_changes(stillness);
    for (const auto& answer : this->answers) {
        this->wait_for(answer);
        EXPECT_EQ(answer->status, 200);
        EXPECT_EQ(answer->body, this->whole_stream());
    }
    EXPECT_EQ(this->world.order_faults, 0U);
}

} // namespace

} // namespace sailtiller::tests
