// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <store/storetypes.h>

#include <map>
#include <optional>

namespace sailtiller {

/// Time limits for reads of the store.
struct store_read_settings
{
    /// Time within which an accepted bundle must be in force on every host.
    duration apply_limit = std::chrono::seconds(2);
    /// Longest time for which a withdrawn key may be used.
    duration revoke_limit = std::chrono::seconds(5);
};

/// Position of a host among the hosts that may read the store.
struct store_read_position
{
    bool is_candidate = true; ///< may become a reader for all hosts
    std::size_t fleet_size = 1; ///< number of hosts
    double turn = 0; ///< share of the other hosts that read before this one, 0 to 1
};

/// Schedules reads of the store by one host. A few hosts, the readers, read it for all; the others get the
/// results from them, and read for themselves once these are too old. A host whose reads fail is no reader.
/// All hosts but the candidates read one after another, so that later ones get the results of earlier ones.
/// Otherwise a store that is slow for a moment would be asked by all hosts at once, and repeatedly, for all
/// changes, and could not answer in time.
class store_read_schedule
{
public:
    explicit store_read_schedule(store_read_settings settings)
        : settings(settings)
    {
    }

    void set_settings(const store_read_settings& next) { this->settings = next; }
    void set_place(const store_read_position& next) { this->place = next; }
    /// Records the start of this host. Its first read then waits for the state of other hosts; without this
    /// call it reads immediately.
    void note_start(time_point now);
    /// Records that the host records were read and the position of this host is known.
    void note_records(time_point now);
    /// Records that another host will send what this one lacks.
    void record_pending_transfer(time_point now);
    /// Records that no other host has reported recently.
    void record_no_peers(time_point now);
    /// Longest time that a read for a newer bundle waits at the store. The answer confirms the current bundle
    /// as of the query, so a confirmation by a reader is up to two waits old.
    [[nodiscard]] duration bundle_wait() const;
    /// Returns true if this host should read the bundle; `age` is the time since it was confirmed as the
    /// newest.
    [[nodiscard]] bool is_bundle_due(
        bool is_reader, const std::optional<duration>& age, time_point now) const;
    /// Returns true if this host should read the upstream entries; `age` is the time since they were
    /// confirmed.
    [[nodiscard]] bool are_upstreams_due(
        bool is_reader, const std::optional<duration>& age, time_point now) const;

    /// Records that the store answered a read of this topic.
    void note_answered(store_topic topic) { this->failed.erase(topic); }
    /// Records that a read of this topic failed.
    void note_failed(store_topic topic, time_point now) { this->failed[topic] = now; }
    /// Returns false from a failed read of any topic until the next answered read of that topic.
    [[nodiscard]] bool reads_store() const { return this->failed.empty(); }

private:
    /// Delay by which this host reads after others.
    [[nodiscard]] duration turn() const;
    [[nodiscard]] duration topic_retry_pause() const;
    [[nodiscard]] bool is_due(
        store_topic topic, const std::optional<duration>& age, duration age_limit, time_point now) const;
    [[nodiscard]] bool is_first_read_due(time_point now) const
    {
        return !this->first_read || now >= *this->first_read;
    }
    /// Returns true if a topic whose last read failed should be read again.
    [[nodiscard]] bool is_retry_due(store_topic topic, time_point now) const;

    store_read_settings settings;
    store_read_position place;
    std::optional<time_point> first_read; ///< not set: immediately
    std::optional<time_point> records_read; ///< when the records of the other hosts were read
    /// Time of the last failed read of each topic. Kept by topic, so that a store that answers only one of
    /// two topics does not make a host a reader and not a reader by turns.
    std::map<store_topic, time_point> failed;
};

} // namespace sailtiller
