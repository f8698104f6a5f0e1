// SPDX-License-Identifier: Apache-2.0
#include "sitefleet.h"

#include <algorithm>

namespace sailtiller::tests {

namespace {

using std::chrono::milliseconds;

constexpr duration look_pause = milliseconds(50); ///< between two looks whether a read is due
constexpr duration tidy_pause = milliseconds(250);
/// Of the hosts that one asks in a round, those that may answer with changes of the upstreams' entries.
constexpr std::size_t asked_for_changes = 2;

site_bundle decode_bundle(const std::string& text)
{
    site_bundle bundle;
    bundle.version = bundle_version(std::stoull(text));
    bundle.build_index();
    return bundle;
}

bool names_upstream(const std::string& text)
{
    return text == "ready" || text == "leaving";
}

discovered_upstream decode_upstream(const std::string& name, const std::string& text)
{
    if (!names_upstream(text)) {
        throw error({"read upstream entry", name}, "it names none to use");
    }
    discovered_upstream upstream;
    upstream.id = make_start_id(name, std::nullopt);
    upstream.service = service_id("s");
    upstream.address = endpoint(name);
    upstream.is_leaving = text == "leaving";
    return upstream;
}

} // namespace

site_fleet::site_fleet(std::size_t count, duration apply_limit)
    : apply_limit(apply_limit)
{
    this->bundle_store.put({"config", "1"});
    for (std::size_t number = 0; number < count; ++number) {
        this->hosts.push_back(this->make_host(number));
    }
    for (const auto& item : this->hosts) {
        this->start(*item);
    }
    this->pass(std::chrono::seconds(5));
}

void site_fleet::pass(duration time)
{
    const time_point end = this->now + time;
    while (this->now < end) {
        this->now += milliseconds(1);
        this->timers.run_due(this->now);
    }
}

void site_fleet::set_access(std::initializer_list<std::size_t> numbers, store_access access)
{
    for (const std::size_t number : numbers) {
        *this->hosts[number]->access = access;
    }
}

void site_fleet::set_access_of_all(store_access access)
{
    for (const auto& item : this->hosts) {
        *item->access = access;
    }
}

void site_fleet::restart(std::size_t number)
{
    host& former = *this->hosts[number];
    const store_access access = *former.access;
    former.is_ended = true;
    *former.access = store_access::silent;
    this->ended.push_back(std::move(this->hosts[number]));
    this->hosts[number] = this->make_host(number);
    *this->hosts[number]->access = access;
    this->start(*this->hosts[number]);
}

bool site_fleet::is_reader(const host& item) const
{
    return item.table->is_reader(item.reading.reads_store(), this->now);
}

bool site_fleet::is_reader(std::size_t number) const
{
    return this->is_reader(*this->hosts[number]);
}

duration site_fleet::measure_delay(std::uint64_t version)
{
    const time_point written = this->now;
    this->bundle_store.put({"config", std::to_string(version)});
    const auto lacks_it = [version](const auto& item) {
        return *item->access == store_access::answers && item->knowledge->own_version() < version;
    };
    const time_point latest = written + std::chrono::seconds(10);
    while (std::any_of(this->hosts.begin(), this->hosts.end(), lacks_it) && this->now < latest) {
        this->pass(milliseconds(1));
    }
    return this->now - written;
}

std::set<std::string> site_fleet::usable_upstreams(std::size_t number) const
{
    std::set<std::string> names;
    for (const auto& [id, entry] : this->hosts[number]->knowledge->upstreams().entries()) {
        if (!entry.upstream.is_leaving) {
            names.insert(upstream_name(id));
        }
    }
    return names;
}

std::set<std::string> site_fleet::usable_upstreams_in_store() const
{
    std::set<std::string> names;
    for (const auto& [name, value] : this->upstream_store.newest()) {
        if (value == "ready") {
            names.insert(name);
        }
    }
    return names;
}

void site_fleet::start(host& item)
{
    for (const auto& other : this->hosts) {
        item.table->add(other->name, this->now);
    }
    item.table->note_start(this->now);
    item.bundle_follower->start();
    item.upstream_follower->start();
    this->tell(item);
    this->tidy(item);
}

std::unique_ptr<site_fleet::host> site_fleet::make_host(std::size_t number)
{
    auto made = std::make_unique<host>();
    host& item = *made;
    const std::string name = "h" + std::to_string(number);
    item.name = {host_id(name), endpoint(name), data_hall_id(number % 2 == 0 ? "x" : "y")};
    item.reading.set_settings({.apply_limit = this->apply_limit, .revoke_limit = std::chrono::seconds(5)});
    item.table = std::make_unique<host_table>(item.name, host_table_settings{});
    item.knowledge = std::make_unique<site_state>(site_state_settings{}, this->make_state_hooks());
    item.exchange =
        std::make_unique<bundle_exchange>(bundle_exchange_settings{}, this->make_exchange_hooks(item));
    item.entries = std::make_unique<entry_exchange>(
        entry_exchange_settings{}, *item.knowledge, this->make_entry_hooks(item));
    item.bundle_follower = std::make_unique<keyed_follower>(
        keyed_follower_settings{
            .topic = store_topic::bundles, .wait = item.reading.bundle_wait(), .pause = look_pause},
        this->make_bundle_hooks(item));
    item.upstream_follower = std::make_unique<keyed_follower>(
        keyed_follower_settings{.topic = store_topic::upstreams, .pause = look_pause},
        this->make_upstream_hooks(item));
    return made;
}

site_state_hooks site_fleet::make_state_hooks()
{
    site_state_hooks hooks;
    hooks.now = [this] { return this->now; };
    hooks.decode_bundle = &decode_bundle;
    hooks.decode_upstream = &decode_upstream;
    hooks.on_bundle = [](const auto&) {};
    hooks.on_confirmed = [](const bundle_source&, duration) {};
    hooks.on_event = [](event_type, const std::string&, const std::string&) {};
    return hooks;
}

bundle_exchange_hooks site_fleet::make_exchange_hooks(host& item)
{
    bundle_exchange_hooks hooks;
    hooks.timers = this->timer_hooks_of_test();
    hooks.random = this->random;
    hooks.own_version = [&item] { return item.knowledge->own_version(); };
    hooks.own_text = [&item]() -> const std::string& { return item.knowledge->own_bundle_text(); };
    hooks.ask = [this](const known_host& holder, auto on_answer) {
        this->timers.schedule(this->now + paused_store::round_trip,
            [this, holder, on_answer] { on_answer(this->find(holder.id).exchange->make_answer()); });
    };
    hooks.take = [&item](const known_host& giver, const std::string& text) {
        item.knowledge->apply_bundle_text(text, {giver.id});
    };
    hooks.on_malformed = [](const known_host&, const std::string&) {};
    return hooks;
}

entry_exchange_hooks site_fleet::make_entry_hooks(host& item)
{
    entry_exchange_hooks hooks;
    hooks.now = [this] { return this->now; };
    hooks.ask = [this](const known_host& holder, const std::optional<log_offset>& known, auto on_answer) {
        this->timers.schedule(this->now + paused_store::round_trip, [this, holder, known, on_answer] {
            on_answer(this->is_lost() ? std::nullopt : this->find(holder.id).entries->make_answer(known));
        });
    };
    hooks.on_applied = [&item](log_offset end) { item.upstream_follower->skip_to(end); };
    hooks.on_malformed = [](const known_host&, const std::string&) {};
    return hooks;
}

paused_store& site_fleet::store_of(store_topic topic)
{
    return topic == store_topic::bundles ? this->bundle_store : this->upstream_store;
}

keyed_follower_hooks site_fleet::make_follower_hooks(host& item, store_topic topic)
{
    keyed_follower_hooks hooks;
    hooks.timers = this->timer_hooks_of_test();
    hooks.read_newest = [this, &item](store_topic read, auto on_all, auto on_failure) {
        this->store_of(read).read_newest(item.access, on_all, on_failure);
    };
    hooks.read_after = [this, &item](
                           store_topic read, log_offset from, duration wait, auto on_page, auto on_failure) {
        this->store_of(read).read_after(item.access, from, wait, on_page, on_failure);
    };
    hooks.on_failure = [this, &item, topic](const error&) {
        item.knowledge->note_store_failed(topic);
        item.reading.note_failed(topic, this->now);
    };
    return hooks;
}

keyed_follower_hooks site_fleet::make_bundle_hooks(host& item)
{
    keyed_follower_hooks hooks = this->make_follower_hooks(item, store_topic::bundles);
    hooks.is_due = [this, &item] {
        return item.reading.is_bundle_due(this->is_reader(item), item.knowledge->bundle_age(), this->now);
    };
    hooks.on_all = [&item](const std::vector<keyed_record>& records, log_offset) {
        item.knowledge->apply_bundle_record(records.back());
    };
    hooks.on_record = [&item](const keyed_record& record, log_offset) {
        item.knowledge->apply_bundle_record(record);
    };
    hooks.on_confirmed = [&item](time_point asked) {
        item.reading.note_answered(store_topic::bundles);
        item.knowledge->confirm_bundle(asked);
    };
    return hooks;
}

keyed_follower_hooks site_fleet::make_upstream_hooks(host& item)
{
    keyed_follower_hooks hooks = this->make_follower_hooks(item, store_topic::upstreams);
    hooks.is_due = [this, &item] {
        return item.reading.are_upstreams_due(
            this->is_reader(item), item.knowledge->upstreams_age(), this->now);
    };
    hooks.on_all = [&item](const std::vector<keyed_record>& records, log_offset end) {
        item.knowledge->apply_upstream_list(records, end);
    };
    hooks.on_record = [&item](const keyed_record& record, log_offset offset) {
        item.knowledge->apply_upstream_record(record, offset);
    };
    hooks.on_confirmed = [&item](time_point asked) {
        item.reading.note_answered(store_topic::upstreams);
        item.knowledge->confirm_upstreams(asked);
    };
    return hooks;
}

timer_hooks site_fleet::timer_hooks_of_test()
{
    return make_timer_hooks(this->timers, [this] { return this->now; });
}

peer_report site_fleet::make_report(host& item, const host_id& receiver, const peer_report* asker)
{
    item.table->set_own_state(false, item.reading.reads_store());
    peer_report report;
    item.table->fill_report(report, receiver, this->now);
    report.reads_store = item.reading.reads_store();
    item.knowledge->fill_report(report, asker);
    return report;
}

void site_fleet::tell(host& item)
{
    if (item.is_ended) {
        return;
    }
    item.reading.set_place({.is_candidate = item.table->is_reader_candidate(),
        .fleet_size = item.table->known_count(),
        .turn = static_cast<double>(stable_hash(item.name.id.value()) % 1000) / 1000});
    std::size_t asked = 0;
    for (const known_host& peer : item.table->select_hosts_to_query(this->now)) {
        this->ask(item, this->find(peer.id), asked < asked_for_changes);
        ++asked;
    }
    this->timers.schedule(
        this->now + host_table_settings().round_interval, [this, &item] { this->tell(item); });
}

void site_fleet::ask(host& item, host& other, bool wants_changes)
{
    if (this->is_lost()) {
        return;
    }
    const time_point asked = this->now;
    peer_report question = make_report(item, other.name.id, nullptr);
    question.wants_changes = wants_changes;
    this->hear(other, question);
    const peer_report answer = make_report(other, item.name.id, &question);
    if (this->is_lost()) {
        return;
    }
    this->timers.schedule(this->now + paused_store::round_trip, [this, &item, &other, answer, asked] {
        this->hear(item, answer);
        item.knowledge->take_answer(answer, asked);
        item.entries->note_answer(answer);
        if (item.knowledge->upstreams_end()) {
            item.upstream_follower->skip_to(*item.knowledge->upstreams_end());
        }
        if (item.table->should_ask_for_all(answer, this->now)) {
            this->ask_hosts(item, other);
        }
    });
}

void site_fleet::ask_hosts(host& item, host& other)
{
    this->timers.schedule(this->now + paused_store::round_trip,
        [this, &item, &other] { item.table->merge_states(other.table->list_states(), this->now); });
}

void site_fleet::tell_leaving(std::size_t number, const std::string& name)
{
    this->hosts[number]->knowledge->note_leaving(upstream_id(name));
}

std::vector<upstream_id> site_fleet::told_leaving(std::size_t number) const
{
    peer_report report;
    this->hosts[number]->knowledge->fill_report(report, nullptr);
    return report.leaving_upstreams;
}

void site_fleet::hear(host& item, const peer_report& report) const
{
    item.table->record_report(report, this->now);
    item.knowledge->apply_leaving_notices(report);
    item.exchange->record_holder(report.sender, report.bundle_version);
}

void site_fleet::tidy(host& item)
{
    if (item.is_ended) {
        return;
    }
    item.knowledge->tidy();
    this->timers.schedule(this->now + tidy_pause, [this, &item] { this->tidy(item); });
}

} // namespace sailtiller::tests
