// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/eventtype.h>
#include <base/logservice.h>
#include <base/timerqueue.h>
#include <bundle/activationfold.h>
#include <bundle/bundleassembler.h>
#include <fleet/bundlemessages.h>
#include <fleet/partstore.h>
#include <fleet/renewalschedule.h>

#include <memory>

namespace sailtiller {

/// Settings of a follower.
struct follower_settings
{
    host_id self;
    trust_settings trust;
    renewal_settings renewal;
    duration read_wait = std::chrono::seconds(5); ///< how long one read of the log may wait for a record
    /// Delay before the log is read again after a failure; doubled with each failure.
    duration retry_pause = std::chrono::milliseconds(500);
    duration longest_retry_pause = std::chrono::seconds(8);
    /// How long a starting host waits for a peer's state before it reads the log from its beginning.
    duration first_peer_wait = std::chrono::milliseconds(500);
    duration peer_interval =
        std::chrono::seconds(2); ///< between queries to peers while the log is unavailable
    duration renewal_interval = std::chrono::seconds(5); ///< between checks for records to renew
    /// Size bound of the parts that are not in force; evicted ones can be fetched again.
    std::size_t max_unpinned_bytes = 4U << 20U;
};

/// A bundle that is active on this host.
struct bundle_in_force
{
    bundle content;
    activation source;
};

/// Dependencies of a follower.
struct follower_hooks
{
    log_hooks log;
    timer_hooks timers;
    /// Returns the hosts that are live by the platform's list, this one included.
    std::function<std::vector<host_id>()> live_hosts;
    /// Queries some peers for their state and for parts, and returns their number; answers arrive through
    /// `handle_peer_state`.
    std::function<std::size_t(const std::vector<part_digest>& missing)> ask_peers;
    /// Activates a verified bundle on this host.
    std::function<void(std::shared_ptr<const bundle_in_force>)> on_bundle;
    /// Reports an event for logs and metrics: its kind, the peer and the reason.
    std::function<void(event_type kind, const std::string& peer, const std::string& reason)> on_event;
};

/// State of a follower, for status pages.
struct follower_status
{
    generation_number known_generation; ///< accepted by the log
    generation_number applied_generation; ///< in force on this host
    bool is_complete = false; ///< no expired record has been missed
    bool is_log_reachable = false;
    bool has_reached_head = false; ///< the log has been read to its end at least once
    log_offset next_offset;
    std::size_t missing_parts = 0;
    std::string failure; ///< why the known generation is not in force here; empty if it is
};

/// Follows the operators' stream of the log, keeps the bundle in force on this host up to date, and renews
/// its records before they expire.
class bundle_follower
{
public:
    bundle_follower(follower_settings settings, follower_hooks hooks);

    void start();
    void stop();
    /// Handles a peer's answer to `ask_peers`.
    void handle_peer_state(const peer_bundle_state& state);
    /// Returns the answer to a peer's query; empty if this host has no confirmed state.
    [[nodiscard]] std::optional<peer_bundle_state> answer_peer(const std::vector<part_digest>& wanted) const;

    [[nodiscard]] follower_status status() const;
    [[nodiscard]] const std::shared_ptr<const bundle_in_force>& in_force() const { return this->applied; }
    [[nodiscard]] const activation_fold& fold() const { return this->activations; }
    [[nodiscard]] const part_store& parts() const { return this->store; }

private:
    void read_log();
    void begin_reading();
    void handle_page(const log_page& page);
    void handle_entry(const log_entry& entry);
    /// Pins the parts of an accepted bundle so that later records of the log don't evict them.
    void pin_accepted_parts();
    void handle_log_failure(const error& failure);
    void check_with_peers();
    /// Reads the log from its beginning for parts that this host has evicted and no peer has supplied.
    void search_log(log_offset from);
    void search_page(const log_page& page);
    void apply();
    void apply_manifest(const activation& source, const std::string& manifest_body);
    /// Pins the parts of a bundle that is still being fetched, in addition to those in force.
    void pin_parts(const bundle_manifest& next, const part_digest& manifest);
    void refuse(const activation& source, const std::string& reason);
    void renew_due_records();
    void carry(const std::string& record);
    [[nodiscard]] std::vector<part_digest> wanted_parts() const;

    follower_settings settings;
    follower_hooks hooks;
    activation_fold activations;
    part_store store;
    bundle_assembler assembler;
    renewal_schedule renewals;
    std::shared_ptr<const bundle_in_force> applied;
    std::vector<part_digest> active_parts; ///< of the bundle in force, its manifest included
    activation_id refused; ///< in force by the log, but not applicable on this host
    std::string refusal;
    bool is_running = false;
    bool is_log_reachable = false;
    bool has_reached_head = false;
    bool is_reading = false;
    bool is_searching = false;
    std::uint32_t unanswered_part_queries = 0; ///< queries to peers since parts are missing
    std::uint32_t failures_in_a_row = 0;
    timer_id read_timer = 0;
    timer_id peer_timer = 0;
    timer_id renewal_timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace sailtiller
