// SPDX-License-Identifier: Apache-2.0
// An upstream with a limit and fleets of several sizes, in series of faults under a simulated clock: hosts
// are killed, freeze, start and join, messages are delayed or lost, membership changes are known late.
//
// In any four seconds the upstream gets at most one and a half times its limit, plus five requests, from
// hosts that know the limit from its answers or from other hosts; and it gets most of the limit while callers
// demand more.
#include <fleet/limitallocator.h>
#include <fleet/limitclient.h>

#include <base/random.h>
#include <support/limitbound.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

constexpr duration step = 1ms;
constexpr duration answer_time = 30ms; ///< of the upstream
constexpr duration answer_limit = 400ms; ///< of hosts, between them
constexpr duration report_interval = 250ms;
constexpr std::size_t peers_asked = 8;
constexpr unsigned most_tries = 4; ///< of a request that waits
constexpr duration try_pause = 25ms;

const upstream_id limited("e1");

/// Parameters of one series.
struct series
{
    std::size_t hosts = 9;
    double limit = 4.5;
    double demand = 60; ///< requests a second that callers send to all hosts, and would go to the upstream
    unsigned lost_percent = 0; ///< of messages between hosts
    unsigned faults = 0; ///< hosts that are killed, freeze or join within the series
    duration spread = 500ms; ///< until each host knows that another one has started
    duration missed = 1500ms; ///< until each host knows that another one is gone
    std::uint64_t seed = 1;
};

class limited_fleet
{
public:
    explicit limited_fleet(const series& given)
        : given(given)
        , random(make_seeded_random(given.seed))
    {
        for (std::size_t number = 0; number < given.hosts; ++number) {
            this->add_host();
        }
        for (const auto& item : this->hosts) {
            for (const auto& other : this->hosts) {
                item->known.insert(other->id);
            }
        }
    }

    void pass(duration time)
    {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += step;
            this->timers.run_due(this->now);
            this->send_requests();
        }
    }

    void name_limit() { this->named = this->now; }
    void draw_faults(duration time)
    {
        for (unsigned number = 0; number < this->given.faults; ++number) {
            const duration at = this->draw(time);
            this->timers.schedule(this->now + at, [this] { this->draw_fault(); });
        }
    }

    /// The most arrivals in one window, of those that count.
    [[nodiscard]] std::size_t most_arrivals() const { return most_in_window(this->counted); }
    [[nodiscard]] std::size_t all_arrivals() const { return this->counted.size(); }
    [[nodiscard]] std::size_t questions() const { return this->asked; }

private:
    struct host
    {
        host_id id;
        bool is_up = true;
        time_point frozen_until{};
        time_point excused_until{};
        upstream_limits limits;
        std::unique_ptr<limit_allocator> home;
        std::unique_ptr<limit_client> holder;
        std::set<host_id> known;
    };

    duration draw(duration longest)
    {
        return duration(static_cast<duration::rep>(
            this->random() % static_cast<std::uint64_t>(std::max<duration::rep>(1, longest.count()))));
    }

    bool is_lost() { return this->random() % 100 < this->given.lost_percent; }

    [[nodiscard]] bool runs(const host& item) const { return item.is_up && item.frozen_until <= this->now; }

    host& add_host()
    {
        this->hosts.push_back(std::make_unique<host>());
        host& item = *this->hosts.back();
        item.id = host_id("h" + std::to_string(this->hosts.size()));
        item.known.insert(item.id);
        this->start(item);
        this->tell(item);
        return item;
    }

    void start(host& item)
    {
        item.limits = upstream_limits();
        item.home = std::make_unique<limit_allocator>(item.limits);
        limit_client_hooks hooks;
        hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
        hooks.hosts = [&item] { return std::vector<host_id>(item.known.begin(), item.known.end()); };
        hooks.ask = [this, &item](const host_id& home, const limit_query& question,
                        const std::function<void(const limit_grant&)>& on_grant,
                        const std::function<void()>& on_failure) {
            this->ask(item, home, question, on_grant, on_failure);
        };
        item.holder = std::make_unique<limit_client>(item.id, item.limits, hooks);
        item.holder->note_start(this->now);
    }

    host* find(const host_id& id)
    {
        const auto found = std::find_if(
            this->hosts.begin(), this->hosts.end(), [&id](const auto& item) { return item->id == id; });
        return found == this->hosts.end() ? nullptr : found->get();
    }

    void ask(host& asker, const host_id& id, const limit_query& question,
        const std::function<void(const limit_grant&)>& on_grant, const std::function<void()>& on_failure)
    {
        host& home = *this->find(id);
        if (&home == &asker) {
            on_grant(home.home->answer(question, home.holder->uptime(this->now), false, this->now));
            return;
        }
        ++this->asked;
        const limit_client* holder = asker.holder.get();
        const auto later = [this, &asker, holder](duration time, const std::function<void()>& action) {
            this->timers.schedule(this->now + time, [&asker, holder, action] {
                if (asker.holder.get() == holder) {
                    action();
                }
            });
        };
        if (!home.is_up) {
            later(2ms, on_failure); // connection refused
        } else if (!this->runs(home) || this->is_lost()) {
            later(answer_limit, on_failure);
        } else {
            const limit_grant grant =
                home.home->answer(question, home.holder->uptime(this->now), false, this->now);
            if (this->is_lost()) {
                later(answer_limit, on_failure);
            } else {
                later(1ms + this->draw(4ms), [on_grant, grant] { on_grant(grant); });
            }
        }
    }

    /// Reports to a few others periodically.
    void tell(host& item)
    {
        for (std::size_t turn = 0; turn < peers_asked && this->runs(item); ++turn) {
            host& other = *this->hosts[this->random() % this->hosts.size()];
            if (!this->runs(other) || this->is_lost()) {
                continue;
            }
            for (const limit_statement& statement : item.limits.list_updates(this->now)) {
                other.limits.take(statement, this->now);
            }
            for (const limit_statement& statement : other.limits.list_updates(this->now)) {
                item.limits.take(statement, this->now);
            }
        }
        item.home->forget_idle(this->now);
        item.holder->tidy();
        this->timers.schedule(this->now + report_interval, [this, &item] { this->tell(item); });
    }

    void draw_fault()
    {
        host& item = *this->hosts[this->random() % this->hosts.size()];
        const duration time = 200ms + this->draw(6s);
        switch (this->random() % 3) {
        case 0:
            this->kill(item, time);
            break;
        case 1:
            item.frozen_until = std::max(item.frozen_until, this->now + time);
            item.excused_until = item.frozen_until + limit_contact_time;
            break;
        default:
            this->spread_word(this->add_host());
            break;
        }
    }

    void kill(host& item, duration time)
    {
        item.is_up = false;
        for (const auto& other : this->hosts) {
            this->timers.schedule(this->now + this->draw(this->given.missed), [&item, &other = *other] {
                if (!item.is_up) {
                    other.known.erase(item.id);
                    other.known.insert(other.id);
                }
            });
        }
        this->timers.schedule(this->now + time, [this, &item] {
            item.is_up = true;
            this->start(item);
            item.excused_until = this->now + limit_contact_time;
            this->spread_word(item);
        });
    }

    /// All hosts learn of one that has started, and it of them.
    void spread_word(host& item)
    {
        for (const auto& other : this->hosts) {
            this->timers.schedule(this->now + this->draw(this->given.spread),
                [&item, &other = *other] { other.known.insert(item.id); });
            item.known.insert(other->id);
        }
    }

    void send_requests()
    {
        const double chance = this->given.demand * std::chrono::duration<double>(step).count();
        constexpr std::uint64_t parts = 1'000'000;
        this->due += chance;
        while (this->due > 0) {
            // Zero to two at a time, so that requests arrive unevenly.
            this->due -= 2 * static_cast<double>(this->random() % parts) / static_cast<double>(parts);
            this->send(*this->hosts[this->random() % this->hosts.size()]);
        }
    }

    /// A request waits briefly for the grant that its host has queried; if the limit is exhausted, it goes
    /// elsewhere.
    void send(host& item, unsigned tries = 0)
    {
        if (!this->runs(item)) {
            return;
        }
        if (!item.holder->take(limited)) {
            if (tries < most_tries && !item.holder->is_exhausted(limited)) {
                this->timers.schedule(
                    this->now + try_pause, [this, &item, tries] { this->send(item, tries + 1); });
            }
            return;
        }
        // By the requirements only those hosts count that the upstream has told its limit half a second
        // before.
        const bool knows = item.limits.limit_of(limited).has_value();
        const bool counts = this->named && this->now >= *this->named + limit_contact_time && knows;
        if (counts && this->now >= item.excused_until) {
            this->counted.push_back(this->now);
        }
        const limit_client* holder = item.holder.get();
        this->timers.schedule(this->now + answer_time, [this, &item, holder, sent = this->now] {
            if (item.holder.get() != holder || !this->named) {
                return;
            }
            item.holder->note_answer(limited, this->given.limit, sent);
        });
    }

    series given;
    random_function random;
    time_point now{std::chrono::seconds(1000)};
    timer_queue timers;
    std::vector<std::unique_ptr<host>> hosts;
    std::optional<time_point> named;
    std::vector<time_point> counted;
    double due = 0;
    std::size_t asked = 0;
};

/// Queries between hosts per second: some for each granted request, and an occasional one from each host.
double max_queries(std::size_t hosts, double limit)
{
    const limit_allocator_settings settings;
    const double seconds = std::chrono::duration<double>(settings.longest_wait).count();
    constexpr double margin = 1.1;
    return margin * (settings.queries_per_request * limit + static_cast<double>(hosts) / seconds);
}

struct outcome
{
    std::size_t most = 0;
    double rate = 0; ///< arrivals a second
    double questions = 0; ///< between hosts, a second
};

outcome play(const series& given, duration time)
{
    limited_fleet fleet(given);
    fleet.pass(12s);
    fleet.name_limit();
    fleet.pass(limit_contact_time);
    const std::size_t before = fleet.questions();
    fleet.draw_faults(time);
    fleet.pass(time);
    const double seconds = std::chrono::duration<double>(time).count();
    return {fleet.most_arrivals(), static_cast<double>(fleet.all_arrivals()) / seconds,
        static_cast<double>(fleet.questions() - before) / seconds};
}

TEST(limit_sharing, a_limit_is_used_and_kept_whatever_the_size_of_the_fleet)
{
    for (const std::size_t hosts : {1UL, 3UL, 9UL, 60UL, 400UL}) {
        for (const double limit : {0.5, 1.0, 4.5, 30.0, 200.0}) {
            const outcome result = play({.hosts = hosts, .limit = limit, .demand = 4 * limit + 20}, 20s);
            EXPECT_LE(result.most, most_allowed(limit)) << hosts << " hosts, limit " << limit;
            EXPECT_GE(result.rate, 0.9 * limit) << hosts << " hosts, limit " << limit;
            EXPECT_LE(result.questions, max_queries(hosts, limit)) << hosts << " hosts, limit " << limit;
        }
    }
}

class limit_sharing_faults : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(limit_sharing_faults, a_limit_is_kept_in_series_of_faults)
{
    const random_function random = make_seeded_random(GetParam());
    series given;
    given.seed = GetParam();
    const bool is_large = random() % 4 == 0;
    given.hosts = is_large ? 60 + random() % 100 : 2 + random() % 14;
    given.limit = static_cast<double>(1 + random() % 400) / 10;
    given.demand = given.limit * 2 + static_cast<double>(random() % 100);
    given.lost_percent = static_cast<unsigned>(random() % 8);
    given.faults = static_cast<unsigned>(1 + random() % 6);
    given.spread = is_large ? 3s : 500ms;
    given.missed = is_large ? 8s : 1500ms;
    const outcome result = play(given, 20s);
    EXPECT_LE(result.most, most_allowed(given.limit))
        << given.hosts << " hosts, limit " << given.limit << ", demand " << given.demand << ", lost "
        << given.lost_percent << ", faults " << given.faults;
}

INSTANTIATE_TEST_SUITE_P(seeds, limit_sharing_faults, testing::Range<std::uint64_t>(1, 41));

} // namespace

} // namespace sailtiller::tests
