// SPDX-License-Identifier: Apache-2.0
// Restores of the platform's store from a copy that is some seconds old: later records are lost, and their
// offsets are assigned again.
// Guards against hosts that mix the two histories. Hosts that continued at their old offset missed the
// records before it once the new history had grown past it, and went on using upstreams that had left; hosts
// that read the whole list took such upstreams as ready, as the copy lists them. Cause: offsets did not
// identify the history, and nothing kept what was known of the lost records. Without the era in offsets, all
// three tests of upstreams fail, the series of faults at its seed 21.
#include <support/sitefleet.h>

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;
using tests::site_fleet;
using tests::store_access;

constexpr std::size_t host_count = 7;
/// Time after the store has accepted a leaving entry within which the upstream must get no more requests.
constexpr duration leave_limit = 2s;
/// Time within which upstreams rewrite entries that the store has lost.
constexpr duration rewrite_time = 2s;
/// The store removes the entry of an upstream that is silent for this long: three heartbeats.
constexpr duration silence_limit = 3600ms;

void write(site_fleet& fleet, const std::string& name, const char* value)
{
    fleet.upstreams().put({name, value});
}

void expect_none_used(const site_fleet& fleet, const std::set<std::string>& names, const std::string& when)
{
    for (std::size_t number = 0; number < fleet.size(); ++number) {
        const std::set<std::string> used = fleet.usable_upstreams(number);
        for (const std::string& name : names) {
            EXPECT_EQ(used.count(name), 0U) << "host " << number << " uses " << name << ", " << when;
        }
    }
}

void expect_all_used(const site_fleet& fleet, const std::set<std::string>& names, const std::string& when)
{
    for (std::size_t number = 0; number < fleet.size(); ++number) {
        const std::set<std::string> used = fleet.usable_upstreams(number);
        for (const std::string& name : names) {
            EXPECT_EQ(used.count(name), 1U) << "host " << number << " lost " << name << ", " << when;
        }
    }
}

void expect_same_lists(const site_fleet& fleet, const std::string& when)
{
    for (std::size_t number = 0; number < fleet.size(); ++number) {
        EXPECT_EQ(fleet.usable_upstreams(number), fleet.usable_upstreams_in_store())
            << "host " << number << ", " << when;
    }
}

/// "left" and "gone" leave and "new" starts within the lost seconds. In the copy the first two are ready and
/// the third is missing. The store continues to get records.
void restore_after_changes(site_fleet& fleet, duration away_time, unsigned writes_after)
{
    for (const char* name : {"kept", "left", "gone"}) {
        write(fleet, name, "ready");
    }
    fleet.pass(8s);
    write(fleet, "left", "leaving");
    fleet.upstreams().put({"gone", std::nullopt});
    write(fleet, "new", "ready");
    fleet.pass(leave_limit);
    expect_none_used(fleet, {"left", "gone"}, "before the store was lost");
    if (away_time > 0s) {
        fleet.set_access_of_all(store_access::refuses);
        fleet.pass(away_time);
    }
    fleet.upstreams().restore(away_time + 4s);
    for (unsigned number = 0; number < writes_after; ++number) {
        write(fleet, "other-" + std::to_string(number), "ready");
    }
    fleet.set_access_of_all(store_access::answers);
}

void expect_consistent_after_restore(duration away_time, unsigned writes_after)
{
    const std::string when =
        std::to_string(away_time / 1ms) + " ms away, " + std::to_string(writes_after) + " writes after";
    site_fleet fleet(host_count);
    restore_after_changes(fleet, away_time, writes_after);
    for (duration passed = 0s; passed < rewrite_time; passed += 50ms) {
        expect_none_used(fleet, {"left", "gone"}, when + ", before what was lost is written again");
        expect_all_used(fleet, {"kept", "new"}, when + ", before what was lost is written again");
        if (testing::Test::HasFailure()) {
            return;
        }
        fleet.pass(50ms);
    }
    write(fleet, "left", "leaving");
    write(fleet, "new", "ready");
    fleet.pass(silence_limit - rewrite_time);
    expect_none_used(fleet, {"left", "gone"}, when + ", until the store drops the old entry");
    fleet.upstreams().put({"gone", std::nullopt});
    fleet.pass(leave_limit);
    expect_same_lists(fleet, when + ", at the end");
    write(fleet, "kept", "leaving");
    fleet.pass(leave_limit);
    expect_same_lists(fleet, when + ", after one more has left");
}

// The critical case raises no error: by the time of the next read, the new history has grown past the old
// offset, the read succeeds, and the state mixes two histories.
TEST(store_restore_test, hosts_follow_the_new_history_and_keep_earlier_leaving)
{
    for (const duration away_time : {0s, 1s, 4s}) {
        for (const unsigned writes_after : {0U, 1U, 3U, 8U, 40U}) {
            expect_consistent_after_restore(away_time, writes_after);
            if (HasFailure()) {
                return;
            }
        }
    }
}

TEST(store_restore_test, second_restore_during_the_first_leaves_consistent_lists)
{
    for (duration between = 0s; between < 2s; between += 250ms) {
        site_fleet fleet(host_count);
        restore_after_changes(fleet, 0s, 8);
        fleet.pass(between);
        fleet.upstreams().restore(between + 1s);
        write(fleet, "new", "ready");
        write(fleet, "late", "ready");
        write(fleet, "left", "leaving");
        fleet.upstreams().put({"gone", std::nullopt});
        fleet.pass(5s);
        expect_same_lists(fleet, std::to_string(between / 1ms) + " ms between");
    }
}

TEST(store_restore_test, bundle_in_force_never_goes_back_and_the_next_is_in_force_in_time)
{
    for (const unsigned lost : {1U, 3U}) {
        site_fleet fleet(host_count);
        fleet.pass(8s);
        for (std::uint64_t version = 2; version < 2 + lost; ++version) {
            fleet.measure_delay(version);
        }
        fleet.bundles().restore(5s);
        fleet.pass(1s);
        fleet.bundles().put({"config", std::to_string(1 + lost)}); // the operator writes the bundle again
        fleet.pass(1s);
        EXPECT_LE(fleet.measure_delay(2 + lost), duration(2s)) << lost << " versions were lost";
    }
}

/// Upstreams that start, leave and end, each under a unique name, and rewrite entries that the store has
/// lost.
class upstream_starts
{
public:
    explicit upstream_starts(site_fleet& fleet)
        : fleet(fleet)
    {
        for (int number = 0; number < 4; ++number) {
            this->begin();
        }
    }

    void begin() { this->set("u" + std::to_string(++this->started), "ready"); }

    void leave(std::size_t number)
    {
        if (const auto item = this->find(number); item != this->entries.end()) {
            this->set(item->first, "leaving");
        }
    }

    void end(std::size_t number)
    {
        if (const auto item = this->find(number); item != this->entries.end()) {
            this->fleet.upstreams().put({item->first, std::nullopt});
            this->entries.erase(item);
        }
    }

    void write_again()
    {
        for (const auto& [name, value] : this->entries) {
            write(this->fleet, name, value);
        }
    }

    /// The store removes the entries of upstreams that no longer write them.
    void remove_silent()
    {
        const std::map<std::string, std::string> stored = this->fleet.upstreams().newest();
        for (const auto& [name, value] : stored) {
            if (this->entries.count(name) == 0) {
                this->fleet.upstreams().put({name, std::nullopt});
            }
        }
    }

private:
    std::map<std::string, const char*>::iterator find(std::size_t number)
    {
        const std::size_t count = this->entries.size();
        return count == 0 ? this->entries.end()
                          : std::next(this->entries.begin(), static_cast<std::ptrdiff_t>(number % count));
    }

    void set(const std::string& name, const char* value)
    {
        this->entries[name] = value;
        write(this->fleet, name, value);
    }

    site_fleet& fleet;
    std::map<std::string, const char*> entries;
    int started = 0;
};

/// Applies changes, restores, outages, restarts and partitions in an order drawn from the seed, then a calm
/// period.
void run_series(unsigned seed)
{
    std::mt19937 draw(seed);
    site_fleet fleet(5);
    upstream_starts starts(fleet);
    fleet.pass(3s);
    for (int step = 0; step < 14; ++step) {
        switch (draw() % 7) {
        case 0:
            starts.leave(draw());
            break;
        case 1:
            starts.end(draw());
            break;
        case 2:
            starts.begin();
            break;
        case 3:
            fleet.set_access({draw() % fleet.size()}, store_access::refuses);
            break;
        case 4:
            fleet.set_access_of_all(store_access::answers);
            break;
        case 5:
            fleet.restart(draw() % fleet.size());
            break;
        default:
            fleet.upstreams().restore(std::chrono::milliseconds(draw() % 5000));
            fleet.pass(std::chrono::milliseconds(draw() % 1500));
            starts.write_again();
            break;
        }
        fleet.pass(std::chrono::milliseconds(draw() % 1500));
    }
    fleet.set_access_of_all(store_access::answers);
    starts.write_again();
    fleet.pass(silence_limit);
    starts.remove_silent();
    fleet.pass(6s);
    expect_same_lists(fleet, "seed " + std::to_string(seed));
}

TEST(store_restore_test, all_hosts_match_the_store_after_any_series_of_faults)
{
    constexpr unsigned seeds = 200; // run thousands by hand after a change of the protocol between hosts
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        run_series(seed);
        if (HasFailure()) {
            return;
        }
    }
}

} // namespace

} // namespace sailtiller
