// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <store/storetypes.h>

#include <map>
#include <optional>

namespace sailtiller {

/// What a host's reads of the store must keep to.
struct store_read_settings
{
    /// An accepted bundle must be in force on every host within this.
    duration apply_limit = std::chrono::seconds(2);
    /// A withdrawn key must not be used for longer than this.
    duration revoke_limit = std::chrono::seconds(5);
};

/// A host's place among those that may read the store.
struct store_read_position
{
    bool is_candidate = true; ///< it is one of the few that may come to read for all
    std::size_t fleet_size = 1; ///< hosts
    double turn = 0; ///< share of the other hosts that go first when many want to read, 0 to 1
};

/// When a host reads the store. A few hosts, the readers, read it for all; the others hear from them, and
/// read for themselves once what they hear is too old. Whoever the store doesn't answer is no reader. All but
/// the candidates take turns in that: what the first one reads, the others hear. A store that is slow for a
/// moment would else be asked by all hosts at once for all that has changed since, and again and again, as it
/// couldn't answer in time.
class store_read_schedule
{
public:
    explicit store_read_schedule(store_read_settings settings)
        : settings(settings)
    {
    }

    void set_settings(const store_read_settings& next) { this->settings = next; }
    void set_place(const store_read_position& next) { this->place = next; }
    /// This host has started. From here on it waits for what others know before its first read; without this
    /// call it reads at once.
    void note_start(time_point now);
    /// It has read the records of the other hosts, and its place is known.
    void note_records(time_point now);
    /// Another host will give what this one lacks.
    void record_pending_transfer(time_point now);
    /// No other host was heard lately.
    void record_no_peers(time_point now);
    /// How long a read for a newer bundle waits at the store. Its answer confirms the present one as of its
    /// question, so a reader's confirmation is up to two waits old.
    [[nodiscard]] duration bundle_wait() const;
    /// True if this host should read the bundle, which it knows to have been the newest that long ago.
    [[nodiscard]] bool is_bundle_due(
        bool is_reader, const std::optional<duration>& age, time_point now) const;
    /// The same for the upstreams' entries.
    [[nodiscard]] bool are_upstreams_due(
        bool is_reader, const std::optional<duration>& age, time_point now) const;

    /// The store answered a read of this host.
    void note_answered(store_topic topic) { this->failed.erase(topic); }
    /// The store failed a read of this host.
    void note_failed(store_topic topic, time_point now) { this->failed[topic] = now; }
    /// False from a failed read of some topic to the next one that is answered.
    [[nodiscard]] bool reads_store() const { return this->failed.empty(); }

private:
    /// How long this host lets others go first.
    [[nodiscard]] duration turn() const;
    [[nodiscard]] duration topic_retry_pause() const;
    [[nodiscard]] bool is_due(
        store_topic topic, const std::optional<duration>& age, duration age_limit, time_point now) const;
    [[nodiscard]] bool is_first_read_due(time_point now) const
    {
        return !this->first_read || now >= *this->first_read;
    }
    /// True if a topic that the store has failed should be tried again.
    [[nodiscard]] bool is_retry_due(store_topic topic, time_point now) const;

    store_read_settings settings;
    store_read_position place;
    std::optional<time_point> first_read; ///< nothing: at once
    std::optional<time_point> records_read; ///< those of the other hosts
    /// The last read of each topic that the store failed. Kept apart, so that a store that answers one topic
    /// and not the other makes no host a reader by turns.
    std::map<store_topic, time_point> failed;
};

} // namespace sailtiller
