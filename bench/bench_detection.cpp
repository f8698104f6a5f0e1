// SPDX-License-Identifier: Apache-2.0
// How soon hosts find a dead engine, and what false alarms cost: the real stall watch of each host over
// streams that give events at the pace of their engines, under a clock of its own. Prints a table over tokens
// an event, hosts, and loops that run steadily or stand still for a part of each tenth of a second.
#include <health/stalldetector.h>

#include <base/random.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <vector>

namespace sailtiller {

namespace {

using std::chrono::milliseconds;

constexpr double token_ms = 12; ///< of one token through the path, with its waits
constexpr double gap_jitter = 0.35; ///< share of a gap by which it varies either way
constexpr duration answer_time = milliseconds(2);
constexpr duration tick = milliseconds(1);
constexpr std::size_t streams_of_host = 15;
constexpr std::size_t events_of_stream = 45;
constexpr unsigned copies = 3; ///< chains of engines, of which each stream takes one
constexpr unsigned chain_length = 10;
constexpr int calm_seconds = 120;
constexpr int deaths = 12;

struct setting
{
    unsigned tokens_per_event = 2;
    std::size_t hosts = 7;
    bool is_jittery = false;
};

struct figures
{
    std::vector<double> verdict_ms; ///< from a death to each host's verdict
    std::size_t false_verdicts = 0;
    std::size_t probes = 0;
    std::size_t requests = 0;
    double host_hours = 0;
};

class world;

class host
{
public:
    host(world& around, std::size_t number);
    void run(time_point now);

private:
    struct stream
    {
        stall_detector::stream_key key = 0;
        unsigned copy = 0;
        std::size_t left = 0;
        time_point next{};
        bool is_lost = false;
    };

    stall_detector_hooks make_hooks();
    void begin(stream& item, time_point now);
    [[nodiscard]] bool stands_still(time_point now) const;

    world& around;
    std::size_t number;
    timer_queue timers;
    std::unique_ptr<stall_detector> watch;
    std::vector<stream> streams;
};

class world
{
public:
    explicit world(const setting& given)
        : given(given)
    {
        for (std::size_t number = 0; number < given.hosts; ++number) {
            this->hosts.push_back(std::make_unique<host>(*this, number));
        }
    }

    figures run()
    {
        this->advance(std::chrono::seconds(5)); // what came before is learning
        this->counted = {};
        this->advance(std::chrono::seconds(calm_seconds));
        for (int death = 0; death < deaths; ++death) {
            this->dead_copy = static_cast<unsigned>(death) % copies;
            this->died = this->now;
            this->told.clear();
            this->advance(milliseconds(800));
            this->last_dead = engine(*this->dead_copy, 1);
            this->came_back = this->now;
            this->dead_copy.reset();
            this->advance(std::chrono::seconds(3));
        }
        return this->counted;
    }

    [[nodiscard]] static upstream_id engine(unsigned copy, unsigned part)
    {
        return upstream_id("e" + std::to_string(copy) + "-" + std::to_string(part));
    }

    /// Probes that the dead engine never answered may be judged a moment after it is back.
    void note_verdict(const upstream_id& id, std::size_t teller)
    {
        const bool was_dead = this->last_dead == id && this->now - this->came_back < milliseconds(200);
        if (this->dead_copy && id == engine(*this->dead_copy, 1)) {
            const std::chrono::duration<double, std::milli> taken = this->now - this->died;
            if (this->told.insert(teller).second) {
                this->counted.verdict_ms.push_back(taken.count());
            }
        } else if (!was_dead) {
            ++this->counted.false_verdicts;
        }
    }

    [[nodiscard]] double draw() { return static_cast<double>(this->random() % 10'000) / 10'000; }

    [[nodiscard]] duration draw_gap()
    {
        const double gap =
            token_ms * this->given.tokens_per_event * (1 + gap_jitter * (2 * this->draw() - 1));
        return duration(static_cast<duration::rep>(gap * 1000));
    }

    setting given;
    time_point now{std::chrono::seconds(1000)};
    std::optional<unsigned> dead_copy; ///< its second engine answers nothing
    time_point died{};
    figures counted;

private:
    std::set<std::size_t> told; ///< hosts that have found the present death
    upstream_id last_dead;
    time_point came_back{};

    void advance(duration time)
    {
        const time_point end = this->now + time;
        const std::chrono::duration<double> seconds = time;
        this->counted.host_hours += seconds.count() / 3600 * static_cast<double>(this->given.hosts);
        for (; this->now < end; this->now += tick) {
            for (const auto& item : this->hosts) {
                item->run(this->now);
            }
        }
    }

    random_function random = make_seeded_random(11);
    std::vector<std::unique_ptr<host>> hosts;
};

host::host(world& around, std::size_t number)
    : around(around)
    , number(number)
    , watch(std::make_unique<stall_detector>(stall_detector_settings{}, this->make_hooks()))
    , streams(streams_of_host)
{
    this->watch->prober().set_live_hosts(around.given.hosts);
    for (stream& item : this->streams) {
        this->begin(item, around.now);
    }
    this->watch->start();
}

stall_detector_hooks host::make_hooks()
{
    stall_detector_hooks hooks;
    hooks.timers = make_timer_hooks(this->timers, [this] { return this->around.now; });
    hooks.probe = [this](const upstream_id& id, const std::function<void(std::optional<double>)>& on_answer) {
        ++this->around.counted.probes;
        const bool is_dead = this->around.dead_copy && id == world::engine(*this->around.dead_copy, 1);
        if (!is_dead) {
            this->timers.schedule(this->around.now + answer_time, [on_answer] { on_answer(1.0); });
        }
    };
    hooks.find_other = [](const upstream_id&) { return world::engine(copies, 0); };
    hooks.is_assigned_prober = [this](const upstream_id&) { return this->number < 2; };
    hooks.on_dead = [this](const std::vector<upstream_id>& ids) {
        for (const upstream_id& id : ids) {
            this->around.note_verdict(id, this->number);
        }
    };
    hooks.on_alive = [](const upstream_id&, double) {};
    return hooks;
}

void host::begin(stream& item, time_point now)
{
    if (item.key != 0) {
        this->watch->remove(item.key);
    }
    item.copy = static_cast<unsigned>(this->around.draw() * copies) % copies;
    std::vector<upstream_id> parts;
    for (unsigned part = 0; part < chain_length; ++part) {
        parts.push_back(world::engine(item.copy, part));
    }
    const stream_expectation expected{.reading = milliseconds(30),
        .token = duration(static_cast<duration::rep>(token_ms * 500)),
        .first_objective = milliseconds(500),
        .longest_pause = milliseconds(250)};
    item.key = this->watch->add(std::move(parts), expected);
    item.left = events_of_stream;
    item.next = now + milliseconds(60) + this->around.draw_gap();
    item.is_lost = false;
    ++this->around.counted.requests;
}

/// A jittery loop's share of the processor is used up after 60 ms of each tenth of a second, at hosts by
/// turns.
bool host::stands_still(time_point now) const
{
    constexpr auto period = milliseconds(100);
    constexpr auto share = milliseconds(60);
    const auto phase = (now.time_since_epoch() + this->number * milliseconds(17)) % period;
    return this->around.given.is_jittery && phase >= share;
}

void host::run(time_point now)
{
    for (stream& item : this->streams) {
        const bool is_cut = this->around.dead_copy == item.copy && item.next >= this->around.died;
        item.is_lost = item.is_lost || is_cut;
    }
    if (this->stands_still(now)) {
        return;
    }
    for (stream& item : this->streams) {
        if (item.is_lost) {
            if (!this->around.dead_copy || this->watch->is_dead(world::engine(item.copy, 1))) {
                this->begin(item, now); // it goes on elsewhere
            }
            continue;
        }
        if (item.next > now) {
            continue;
        }
        this->watch->note_progress(item.key);
        item.next = std::max(item.next + this->around.draw_gap(), now);
        if (--item.left == 0) {
            this->begin(item, now);
        }
    }
    this->timers.run_due(now);
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(at, values.size() - 1)];
}

void print_row(const setting& item, const figures& counted)
{
    std::printf("| %u | %zu | %s | %.0f | %.0f | %.1f | %.4f |\n", item.tokens_per_event, item.hosts,
        item.is_jittery ? "jittery" : "steady", quantile(counted.verdict_ms, 0.5),
        quantile(counted.verdict_ms, 0.95), static_cast<double>(counted.false_verdicts) / counted.host_hours,
        static_cast<double>(counted.probes) / static_cast<double>(counted.requests));
}

void run_all()
{
    std::printf(
        "| tokens an event | hosts | loops | death to verdict, median ms | p95 ms | false verdicts a host "
        "and hour | probes a request |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const unsigned tokens : {2U, 5U, 8U}) {
        for (const std::size_t hosts : {std::size_t{7}, std::size_t{60}}) {
            for (const bool is_jittery : {false, true}) {
                const setting item{tokens, hosts, is_jittery};
                print_row(item, world(item).run());
            }
        }
    }
}

} // namespace

} // namespace sailtiller

int main()
{
    sailtiller::run_all();
    return 0;
}
