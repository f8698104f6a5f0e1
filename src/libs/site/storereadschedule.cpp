// SPDX-License-Identifier: Apache-2.0
#include <site/storereadschedule.h>

#include <algorithm>

namespace sailtiller {

namespace {

using std::chrono::milliseconds;

/// Longest wait of a read for a newer bundle; each answer also confirms the current one.
constexpr duration longest_bundle_wait = milliseconds(1000);
/// Number of bundle waits within the limit. A reader confirms the bundle as of the start of a wait, up to two
/// waits ago, and reports to other hosts within half a second more. With five waits in the limit this is nine
/// tenths of the age at which the others read for themselves, so they do not read while the readers work.
constexpr int bundle_waits_per_limit = 5;
/// Age at which a host reads for itself, in quarters of the limit. The last quarter is left for its read and
/// for forwarding the result. At 2.6 s, above the limit of 2 s, changes took force up to 2.4 s after their
/// confirmation while both readers were cut off from the store.
constexpr int own_read_limit_quarters = 3;
/// Minimum interval of retries after a failed read, after which the host can be a reader again: a reader
/// reads two or three times as often.
constexpr duration min_retry_pause = milliseconds(1000);
/// The same for all hosts except candidates together.
constexpr duration fleet_read_retry_interval = milliseconds(20);
/// Hosts read one after another at this interval, up to the longest delay.
constexpr duration read_stagger_interval = milliseconds(8);
constexpr duration longest_turn = std::chrono::seconds(8);
/// Time for which a starting host waits for the state of others before its first read; candidates do not
/// wait.
constexpr duration initial_read_delay = std::chrono::seconds(2);
/// The same while the store has not accepted the record of this host.
constexpr duration initial_read_delay_unregistered = std::chrono::seconds(10);
/// Divisor of the bundle age limit that gives the maximum delay behind other hosts.
constexpr int bundle_read_delay_divisor = 8;
/// Interval of a reader's reads of the upstream entries. All hosts must see within two seconds which
/// upstreams leave.
constexpr duration upstream_interval = milliseconds(400);
/// Age of the entries above which a host reads for itself, as the readers seem to be down.
constexpr duration own_upstream_read_age = milliseconds(1500);

} // namespace

duration store_read_schedule::bundle_wait() const
{
    const duration limit = std::min(this->settings.apply_limit, this->settings.revoke_limit);
    return std::min(longest_bundle_wait, limit / bundle_waits_per_limit);
}

void store_read_schedule::note_start(time_point now)
{
    this->first_read = now + initial_read_delay_unregistered;
}

void store_read_schedule::note_records(time_point now)
{
    this->records_read = now;
    const duration wait = this->place.is_candidate ? duration::zero() : initial_read_delay;
    this->first_read = now + wait + this->turn();
}

void store_read_schedule::record_pending_transfer(time_point now)
{
    this->first_read = now + initial_read_delay;
}

void store_read_schedule::record_no_peers(time_point now)
{
    if (this->records_read && now - *this->records_read >= initial_read_delay) {
        this->first_read = now;
    }
}

duration store_read_schedule::turn() const
{
    if (this->place.is_candidate) {
        return duration::zero();
    }
    const duration all =
        std::min(longest_turn, read_stagger_interval * static_cast<int>(this->place.fleet_size));
    return scale(all, this->place.turn);
}

duration store_read_schedule::topic_retry_pause() const
{
    if (this->place.is_candidate) {
        return min_retry_pause;
    }
    return std::max(min_retry_pause, fleet_read_retry_interval * static_cast<int>(this->place.fleet_size));
}

bool store_read_schedule::is_retry_due(store_topic topic, time_point now) const
{
    const auto found = this->failed.find(topic);
    return found != this->failed.end() && now - found->second >= this->topic_retry_pause();
}

bool store_read_schedule::is_due(
    store_topic topic, const std::optional<duration>& age, duration age_limit, time_point now) const
{
    if (this->is_retry_due(topic, now)) {
        return true;
    }
    if (!this->place.is_candidate && this->failed.count(topic) != 0) {
        return false;
    }
    return age ? *age >= age_limit : this->is_first_read_due(now);
}

bool store_read_schedule::is_bundle_due(
    bool is_reader, const std::optional<duration>& age, time_point now) const
{
    const duration limit = std::min(this->settings.apply_limit, this->settings.revoke_limit);
    const duration turn = std::min(this->turn(), limit / bundle_read_delay_divisor);
    const duration own_read_age = limit * own_read_limit_quarters / 4 + turn;
    return this->is_due(store_topic::bundles, age, is_reader ? duration::zero() : own_read_age, now);
}

bool store_read_schedule::are_upstreams_due(
    bool is_reader, const std::optional<duration>& age, time_point now) const
{
    const duration own_read_age = own_upstream_read_age + this->turn();
    return this->is_due(store_topic::upstreams, age, is_reader ? upstream_interval : own_read_age, now);
}

} // namespace sailtiller
