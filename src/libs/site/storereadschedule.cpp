// SPDX-License-Identifier: Apache-2.0
#include <site/storereadschedule.h>

#include <algorithm>

namespace sailtiller {

namespace {

using std::chrono::milliseconds;

/// How long a read waits for a newer bundle at the most; each answer also confirms the present one.
constexpr duration longest_bundle_wait = milliseconds(1000);
/// A reader confirms the bundle as of the begin of a wait, so up to two waits ago, and tells it to the others
/// in half a second more: with five waits in the limit that is nine tenths of the age at which they read for
/// themselves, so that they need not while the readers read.
constexpr int bundle_waits_per_limit = 5;
/// Share of the limit at which a host no longer waits for the readers' word, in quarters. The last quarter is
/// left to its own read and to passing on what it finds. At 2.6 s, beyond the limit of 2 s, changes were in
/// force up to 2.4 s after their confirmation while both readers were cut off from the store.
constexpr int own_read_quarters = 3;
/// A host that the store has failed tries again this often, so that it can be a reader again: as a reader it
/// would read two or three times as often.
constexpr duration min_retry_pause = milliseconds(1000);
/// The same for all hosts but the candidates together.
constexpr duration fleet_read_retry_interval = milliseconds(20);
/// Hosts that want to read go one after another at this interval, within the longest turn.
constexpr duration read_stagger_interval = milliseconds(8);
constexpr duration longest_turn = std::chrono::seconds(8);
/// A host that starts waits so long for what others know before it reads for itself; candidates don't.
constexpr duration initial_read_delay = std::chrono::seconds(2);
/// The same while the store has not even taken its record.
constexpr duration initial_read_delay_unregistered = std::chrono::seconds(10);
/// Share of the limit of a bundle's age that turns may take.
constexpr int bundle_read_delay_divisor = 8;
/// Between two reads of the upstreams' entries by a reader. All hosts must know within two seconds which
/// upstreams leave.
constexpr duration upstream_interval = milliseconds(400);
/// A host that knows the upstreams only as of longer ago reads for itself, as the readers seem to be gone.
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
    const duration own_read_age = limit * own_read_quarters / 4 + turn;
    return this->is_due(store_topic::bundles, age, is_reader ? duration::zero() : own_read_age, now);
}

bool store_read_schedule::are_upstreams_due(
    bool is_reader, const std::optional<duration>& age, time_point now) const
{
    const duration own_read_age = own_upstream_read_age + this->turn();
    return this->is_due(store_topic::upstreams, age, is_reader ? upstream_interval : own_read_age, now);
}

} // namespace sailtiller
