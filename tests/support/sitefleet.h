// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "pausedstore.h"

#include <base/random.h>
#include <fleet/hosttable.h>
#include <site/bundleexchange.h>
#include <site/entryexchange.h>
#include <site/sitestate.h>
#include <site/storereadschedule.h>
#include <store/keyedfollower.h>

#include <set>

namespace sailtiller::tests {

/// Hosts of two halls that read the store, and hear from each other, as those of a site do, under one paused
/// clock. Bundles are written as their version; upstreams as "ready", "leaving", or anything else for an
/// entry that names none to use.
class site_fleet
{
public:
    /// Starts as many hosts, named in the order of their numbers, with version 1 in force.
    explicit site_fleet(std::size_t count, duration apply_limit = std::chrono::seconds(2));

    void pass(duration time);
    void set_access(std::initializer_list<std::size_t> numbers, store_access access);
    void set_access_of_all(store_access access);
    /// Of a hundred messages between hosts, so many are lost from now on.
    void set_message_loss(unsigned percent) { this->lost_percent = percent; }
    /// An upstream says in an answer to the host that it leaves.
    void tell_leaving(std::size_t number, const std::string& name);
    /// The upstreams of which the host tells others that they leave.
    [[nodiscard]] std::vector<upstream_id> told_leaving(std::size_t number) const;
    /// Ends the host and starts it anew, with nothing known.
    void restart(std::size_t number);

    [[nodiscard]] std::size_t size() const { return this->hosts.size(); }
    [[nodiscard]] bool is_reader(std::size_t number) const;
    /// Writes that version; how long it takes until every host whom the store answers has it.
    duration measure_delay(std::uint64_t version);
    /// Names of the upstreams to which the host would send new work.
    [[nodiscard]] std::set<std::string> usable_upstreams(std::size_t number) const;
    /// The same by the store's own records.
    [[nodiscard]] std::set<std::string> usable_upstreams_in_store() const;
    [[nodiscard]] paused_store& bundles() { return this->bundle_store; }
    [[nodiscard]] paused_store& upstreams() { return this->upstream_store; }

private:
    struct host
    {
        std::shared_ptr<store_access> access = std::make_shared<store_access>(store_access::answers);
        known_host name;
        std::unique_ptr<host_table> table;
        std::unique_ptr<site_state> knowledge;
        std::unique_ptr<bundle_exchange> exchange;
        std::unique_ptr<entry_exchange> entries;
        std::unique_ptr<keyed_follower> bundle_follower;
        std::unique_ptr<keyed_follower> upstream_follower;
        store_read_schedule reading{{}};
        bool is_ended = false;
    };

    void start(host& item);
    std::unique_ptr<host> make_host(std::size_t number);
    site_state_hooks make_state_hooks();
    bundle_exchange_hooks make_exchange_hooks(host& item);
    entry_exchange_hooks make_entry_hooks(host& item);
    keyed_follower_hooks make_follower_hooks(host& item, store_topic topic);
    keyed_follower_hooks make_bundle_hooks(host& item);
    keyed_follower_hooks make_upstream_hooks(host& item);
    timer_hooks timer_hooks_of_test();
    [[nodiscard]] paused_store& store_of(store_topic topic);
    host& find(const host_id& id) { return *this->hosts[std::stoul(id.value().substr(1))]; }
    [[nodiscard]] bool is_reader(const host& item) const;
    peer_report make_report(host& item, const host_id& receiver, const peer_report* asker);
    /// Asks the others in turn, again and again.
    void tell(host& item);
    void ask(host& item, host& other, bool wants_changes);
    /// Asks for the states of all hosts.
    void ask_hosts(host& item, host& other);
    void hear(host& item, const peer_report& report) const;
    /// Drops what has lapsed, again and again.
    void tidy(host& item);
    bool is_lost() { return this->random() % 100 < this->lost_percent; }

    time_point now{std::chrono::seconds(100)};
    timer_queue timers;
    random_function random = make_seeded_random(5);
    unsigned lost_percent = 0;
    duration apply_limit;
    paused_store bundle_store{this->timers, this->now};
    paused_store upstream_store{this->timers, this->now};
    std::vector<std::unique_ptr<host>> hosts;
    std::vector<std::unique_ptr<host>> ended; ///< kept, as timers and answers still name them
};

} // namespace sailtiller::tests
