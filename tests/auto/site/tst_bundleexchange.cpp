// SPDX-License-Identifier: Apache-2.0
#include <site/bundleexchange.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

/// Hosts with links of a given rate that exchange their versions every 250 ms with eight others, and then
/// exchange bundles. All run under one simulated clock.
class bundle_exchange_test : public testing::Test
{
protected:
    struct host
    {
        known_host name;
        std::uint64_t version = 1;
        std::string text = "old";
        known_host giver; ///< sender of the text; not set on the first host
        time_point link_free{}; ///< when the link has sent all queued data
        std::uint64_t sent_bytes = 0;
        std::unique_ptr<bundle_exchange> exchange;
    };

    void add_hosts(std::size_t count, double bytes_per_s)
    {
        this->rate = bytes_per_s;
        for (std::size_t number = 0; number < count; ++number) {
            auto item = std::make_unique<host>();
            item->name = {host_id("h" + std::to_string(number)), endpoint("a"), data_hall_id("x")};
            item->exchange =
                std::make_unique<bundle_exchange>(bundle_exchange_settings{}, this->make_hooks(*item));
            this->hosts.push_back(std::move(item));
        }
    }

    bundle_exchange_hooks make_hooks(host& self)
    {
        bundle_exchange_hooks hooks;
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        hooks.random = this->random;
        hooks.own_version = [&self] { return self.version; };
        hooks.own_text = [&self]() -> const std::string& { return self.text; };
        hooks.ask = [this](const known_host& holder, auto on_answer) { this->ask(holder, on_answer); };
        hooks.take = [&self](const known_host& giver, const std::string& text) {
            self.giver = giver;
            self.text = text;
            ++self.version;
        };
        hooks.on_malformed = [this](const known_host&, const std::string&) { ++this->malformed; };
        return hooks;
    }

    /// Answers once the holder's link has sent the data; if that takes over a second, answers nothing after a
    /// second.
    void ask(
        const known_host& holder, const std::function<void(const std::optional<std::string>&)>& on_answer)
    {
        ++this->questions;
        host& other = *this->hosts[std::stoul(holder.id.value().substr(1))];
        std::optional<std::string> answer = other.exchange->make_answer();
        if (this->spoil && answer) {
            answer = "no zlib";
        }
        const double bytes = answer ? static_cast<double>(answer->size()) : 100;
        other.sent_bytes += static_cast<std::uint64_t>(bytes);
        const auto way = duration(static_cast<duration::rep>(bytes / this->rate * 1e6));
        other.link_free = std::max(other.link_free, this->now) + way;
        const bool is_in_time = other.link_free - this->now < 1s;
        this->timers.schedule(is_in_time ? other.link_free : this->now + 1s,
            [on_answer, answer, is_in_time] { on_answer(is_in_time ? answer : std::nullopt); });
    }

    /// Every host gets the versions of eight others.
    void publish_versions()
    {
        for (const auto& item : this->hosts) {
            for (int turn = 0; turn < 8; ++turn) {
                const host& other = *this->hosts[this->random() % this->hosts.size()];
                item->exchange->record_holder(other.name, other.version);
            }
        }
    }

    void pass(duration time)
    {
        const time_point end = this->now + time;
        while (this->now < end) {
            if (this->now >= this->next_reports) {
                this->next_reports = this->now + 250ms;
                this->publish_versions();
            }
            this->now += 5ms;
            this->timers.run_due(this->now);
        }
    }

    [[nodiscard]] std::size_t count_with(std::uint64_t version) const
    {
        return static_cast<std::size_t>(std::count_if(this->hosts.begin(), this->hosts.end(),
            [version](const auto& item) { return item->version == version; }));
    }

    time_point now{100s};
    time_point next_reports{100s};
    timer_queue timers;
    random_function random = make_seeded_random(7);
    double rate = 0;
    std::vector<std::unique_ptr<host>> hosts;
    std::size_t questions = 0;
    std::size_t malformed = 0;
    bool spoil = false;
};

/// Text that compresses to about a tenth, as configurations do.
std::string make_text(std::size_t bytes)
{
    const random_function random = make_seeded_random(3);
    std::string text;
    while (text.size() < bytes) {
        text += "{\"name\":\"" + std::to_string(random() % 100'000'000)
            + "\",\"kind\":\"stream\",\"limits\":"
              "{\"longest\":20000,\"objective\":500,\"pause\":250},\"targets\":[{\"service\":\"engines\"}]},";
    }
    return text;
}

TEST_F(bundle_exchange_test, a_large_bundle_reaches_sixty_hosts_on_slow_links_in_two_seconds)
{
    this->add_hosts(60, 2'500'000); // 20 Mbit/s
    this->hosts[0]->version = 2;
    this->hosts[0]->text = make_text(1'000'000);
    this->pass(2s);
    EXPECT_EQ(this->count_with(2), 60U);
    EXPECT_EQ(this->hosts[59]->text, this->hosts[0]->text);
    for (const auto& item : this->hosts) {
        EXPECT_LT(item->sent_bytes, 2'500'000) << "no link was saturated for a whole second";
    }
}

TEST_F(bundle_exchange_test, a_bundle_reaches_four_hundred_hosts_in_three_seconds)
{
    this->add_hosts(400, 2'500'000);
    this->hosts[0]->version = 2;
    this->hosts[0]->text = make_text(1'000'000);
    this->pass(3s);
    EXPECT_EQ(this->count_with(2), 400U);
}

TEST_F(bundle_exchange_test, queries_one_holder_at_a_time)
{
    this->add_hosts(5, 2'500'000);
    for (std::size_t number = 1; number < 5; ++number) {
        this->hosts[number]->version = 2;
        this->hosts[number]->text = "new";
        this->hosts[0]->exchange->record_holder(this->hosts[number]->name, 2);
    }
    EXPECT_EQ(this->questions, 1U);
    this->pass(50ms);
    EXPECT_EQ(this->hosts[0]->text, "new");
    EXPECT_EQ(this->questions, 1U) << "there is nothing newer";
}

TEST_F(bundle_exchange_test, holder_over_its_budget_is_queried_again_later)
{
    this->add_hosts(3, 2'500'000);
    this->hosts[0]->version = 2;
    this->hosts[0]->text = make_text(5'000'000); // exceeds the budget of one interval
    EXPECT_TRUE(this->hosts[0]->exchange->make_answer().has_value());
    EXPECT_FALSE(this->hosts[0]->exchange->make_answer().has_value());
    this->now += 100ms;
    EXPECT_TRUE(this->hosts[0]->exchange->make_answer().has_value());
    this->pass(2s);
    EXPECT_EQ(this->count_with(2), 3U);
}

TEST_F(bundle_exchange_test, reports_malformed_data_and_keeps_the_bundle)
{
    this->add_hosts(2, 2'500'000);
    this->hosts[0]->version = 2;
    this->hosts[0]->text = "new";
    this->spoil = true;
    this->pass(500ms);
    EXPECT_GE(this->malformed, 1U);
    EXPECT_EQ(this->hosts[1]->text, "old");
    this->spoil = false;
    this->pass(500ms);
    EXPECT_EQ(this->hosts[1]->text, "new");
    EXPECT_EQ(this->hosts[1]->giver, this->hosts[0]->name);
}

TEST_F(bundle_exchange_test, host_without_a_bundle_sends_none)
{
    this->add_hosts(1, 1'000'000);
    this->hosts[0]->version = 0;
    EXPECT_FALSE(this->hosts[0]->exchange->make_answer().has_value());
}

} // namespace

} // namespace sailtiller
