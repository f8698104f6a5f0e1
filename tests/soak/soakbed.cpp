// SPDX-License-Identifier: Apache-2.0
#include "soakbed.h"

#include <support/limitbound.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

constexpr duration step_time = 200ms;
/// A withdrawn key must not be used for longer, by the users' sheets.
constexpr duration revoke_limit = 5s;
/// Steps of which the store keeps a copy: it comes back from one that is up to so many seconds old.
constexpr std::size_t kept_copies = 15;
/// After a restore, until a host that starts anew can't read from the copy what is not in force any more.
/// docs/design/store-history.md lists that a lone host would serve by it.
constexpr duration restore_calm = 3s;
/// Three heartbeats, after which the store drops the entry of an upstream that doesn't write it.
constexpr duration silence_limit = 3600ms;

/// For how long a host that was disturbed is excused, by the users' sheets.
constexpr duration contact_time = 3s;
/// A host that was told a limit must keep to it after this.
constexpr duration told_margin = 500ms;

/// Crashes under a part after which hosts in touch must know it, and requests with it that may then be sent
/// on, by the users' sheets.
constexpr std::size_t crashes_until_known = 5;
constexpr std::size_t most_late_sends = 3;
constexpr const char* fatal_part = "91bd3f06";
/// In no configuration; no request with it may run.
constexpr const char* unknown_key = "key-of-nobody";

bool promises_not_run(int status)
{
    return status == 503 || status == 429 || status == 421 || status == 408;
}

} // namespace

void soak_bed::start(unsigned seed, unsigned host_count)
{
    this->random.seed(seed);
    this->way_random.seed(seed ^ 0x5a5aU);
    this->part_random.seed(seed ^ 0xa5a5U);
    this->settings_random.seed(seed ^ 0x3c3cU);
    this->start_engines(4);
    constexpr unsigned letters = 26;
    for (unsigned number = 0; number < host_count; ++number) {
        host_slot slot;
        slot.name = std::string(1, static_cast<char>('a' + number % letters))
            + (number < letters ? "" : std::to_string(number / letters));
        slot.settings_file = testing::TempDir() + "sailtiller-soak-" + std::to_string(getpid()) + slot.name;
        slot.host = &this->start_slot(slot);
        this->slots.push_back(slot);
    }
    for (const host_slot& slot : this->slots) {
        this->wait_until_served(*slot.host);
    }
    this->draw_limits(seed);
    this->draw_notices(seed);
    this->fatal_part_begins = this->loop.now() + std::chrono::milliseconds(this->part_random() % 3000);
}

void soak_bed::ask_with_fatal_part()
{
    if (this->loop.now() < this->fatal_part_begins) {
        return;
    }
    this->world.fatal_part = fatal_part;
    const std::size_t slot = this->part_random() % this->slots.size();
    if (!this->is_taking(this->slots[slot])) {
        return;
    }
    const std::string number = std::to_string(this->slots_of_fatal.size());
    this->slots_of_fatal["f" + number] = slot;
    this->ask(*this->slots[slot].host, "f" + number, "/chat/x", this->keys.front(), "fatal " + number,
        {{"x-prompt-prefix", std::string("5c1e07a2:40,") + fatal_part + ":100," + number + ":40"}});
    if (!this->world.crashes.empty()) {
        this->engines_disturbed = std::max(this->engines_disturbed, this->world.crashes.back());
    }
}

void soak_bed::check_fatal_part() const
{
    if (this->world.crashes.size() < crashes_until_known) {
        return;
    }
    const time_point known = this->world.crashes[crashes_until_known - 1] + contact_time;
    std::size_t late = 0;
    for (const auto& [upstream, arrivals] : this->world.arrivals) {
        for (const standins::request_arrival& arrival : arrivals) {
            const auto slot = this->slots_of_fatal.find(arrival.request);
            late += slot != this->slots_of_fatal.end() && arrival.at > known
                    && this->is_settled(this->slots[slot->second], arrival.at)
                ? 1
                : 0;
        }
    }
    EXPECT_LE(late, most_late_sends) << this->world.crashes.size() << " crashes, after" << this->series;
}

void soak_bed::draw_notices(unsigned seed)
{
    this->notices = std::make_unique<notice_series>(this->world, seed);
    const std::size_t first = seed % this->engines.size();
    const std::size_t second = (first + 1) % this->engines.size();
    this->notices->draw(this->engines[first]->name(), this->engines[second]->name(),
        this->services[seed % this->services.size()]->name(), this->loop.now());
}

void soak_bed::draw_limits(unsigned seed)
{
    // Drawn apart from the other faults, whose series stay what they were.
    this->limit_random.seed(~seed);
    const auto draw_time = [this](unsigned from, unsigned span) {
        return std::chrono::milliseconds(from + this->limit_random() % span);
    };
    for (const std::string& name : {this->engines[this->limit_random() % this->engines.size()]->name(),
             this->services[this->limit_random() % this->services.size()]->name()}) {
        limited_time item;
        item.upstream = name;
        item.requests_per_second = 0.5 + static_cast<double>(this->limit_random() % 20) / 10;
        item.begin = this->loop.now() + draw_time(0, 1000);
        item.end = item.begin + draw_time(4000, 4000);
        this->limited.push_back(item);
    }
}

void soak_bed::name_limits()
{
    const time_point now = this->loop.now();
    for (const limited_time& item : this->limited) {
        if (now >= item.begin && now < item.end) {
            this->world.limits[item.upstream] = item.requests_per_second;
        } else {
            this->world.limits.erase(item.upstream);
        }
    }
}

/// With the other requests alone, an upstream would hardly get more than it names.
void soak_bed::ask_beyond_limits()
{
    constexpr unsigned at_once = 6;
    for (unsigned number = 0; number < at_once; ++number) {
        const std::size_t slot = this->limit_random() % this->slots.size();
        if (this->is_taking(this->slots[slot])) {
            this->ask_one(slot, number % 2 == 0 ? "/chat/x" : "/submit/x", this->keys.front());
        }
    }
}

void soak_bed::step()
{
    this->bring_back();
    this->name_limits();
    this->notices->apply(this->loop.now());
    // As many faults and requests for each host as with the few hosts of CI.
    const std::size_t rounds = std::max(std::size_t{1}, this->slots.size() / default_host_count);
    for (std::size_t round = 0; round < rounds; ++round) {
        this->change_ways();
    }
    this->ask_beyond_limits();
    this->ask_with_fatal_part();
    this->copies.push_back(this->store.take_copy());
    if (this->copies.size() > kept_copies) {
        this->copies.erase(this->copies.begin());
    }
    for (std::size_t round = 0; round < rounds; ++round) {
        this->ask_some();
        if (this->draw(3) == 0) {
            this->disturb();
        }
    }
    const time_point end = this->loop.now() + step_time;
    while (this->loop.now() < end) {
        this->loop.run_once(20ms);
        this->note_answers();
    }
    for (const host_slot& slot : this->slots) {
        slot.host->process->output(); // a host leaves lines out while nobody reads its output
    }
}

bool soak_bed::is_taking(const host_slot& slot) const
{
    return !slot.is_ended && !slot.is_stopped;
}

void soak_bed::ask_some()
{
    constexpr unsigned at_once = 4;
    for (unsigned number = 0; number < at_once; ++number) {
        const std::size_t slot = this->draw(static_cast<unsigned>(this->slots.size()));
        if (!this->is_taking(this->slots[slot])) {
            continue;
        }
        const bool uses_withdrawn = !this->withdrawn.empty() && this->draw(6) == 0;
        const std::string key = uses_withdrawn
            ? this->withdrawn.begin()->first
            : this->keys[this->draw(static_cast<unsigned>(this->keys.size()))];
        this->ask_one(slot, this->draw(2) == 0 ? "/chat/x" : "/submit/x", key);
    }
    const std::size_t slot = this->settings_random() % this->slots.size();
    if (this->is_taking(this->slots[slot])) {
        this->ask_one(slot, "/submit/x", unknown_key);
    }
}

void soak_bed::ask_one(std::size_t slot, const std::string& path, const std::string& key)
{
    asked item;
    item.id = "s" + std::to_string(++this->count);
    item.path = path;
    item.key = key;
    item.slot = slot;
    item.sent = this->loop.now();
    item.answer = this->ask(*this->slots[slot].host, item.id, path, key, "body of " + item.id);
    this->requests.push_back(std::move(item));
}

void soak_bed::note_answers()
{
    for (asked& item : this->requests) {
        if (!item.answered && item.answer->is_done) {
            item.answered = this->loop.now();
            item.was_host_disturbed = this->slots[item.slot].disturbed >= item.sent;
            item.had_relaying_host = this->has_relaying_host(this->slots[item.slot]);
        }
    }
}

void soak_bed::bring_back()
{
    const time_point now = this->loop.now();
    if (this->write_again_at > time_point{} && now >= this->write_again_at) {
        this->write_again_at = {};
        this->write_entries();
    }
    if (this->drop_silent_at > time_point{} && now >= this->drop_silent_at) {
        this->drop_silent_at = {};
        this->drop_silent_entries();
    }
    for (host_slot& slot : this->slots) {
        *slot.host->is_gate_open = *slot.host->is_gate_open || now >= slot.back_at;
        if (slot.is_stopped && now >= slot.back_at) {
            slot.is_stopped = false;
            slot.disturbed = now;
            slot.unsettled.push_back(now);
            slot.host->process->send_signal(SIGCONT);
        }
        const bool has_ended = slot.is_ended && slot.host->process->exit_code().has_value();
        const bool may_start = now >= slot.back_at && now - this->store_disturbed > restore_calm;
        if (has_ended && may_start) {
            if (slot.is_planned) {
                EXPECT_EQ(slot.host->process->exit_code(), 0) << slot.name << " after" << this->series << "\n"
                                                              << slot.host->process->last_output();
            }
            slot.is_ended = false;
            slot.unsettled.push_back(now);
            slot.host = &this->start_slot(slot);
        }
    }
}

void soak_bed::disturb()
{
    host_slot& slot = this->slots[this->draw(static_cast<unsigned>(this->slots.size()))];
    switch (this->draw(9)) {
    case 0:
        this->end_host(slot, SIGKILL);
        break;
    case 1:
        this->end_host(slot, SIGTERM);
        break;
    case 2:
        this->suspend_host(slot);
        break;
    case 3:
        this->shut_store(slot);
        break;
    case 4:
        if (this->is_taking(slot)) {
            this->series += " hup-" + slot.name;
            slot.host->process->send_signal(SIGHUP);
        }
        break;
    case 5:
        this->series += " crash";
        this->engines_disturbed = this->loop.now();
        this->engines[this->draw(static_cast<unsigned>(this->engines.size()))]->crash();
        break;
    case 6:
        this->series += " lost-answer";
        this->services[this->draw(2)]->lose_answers(1);
        break;
    case 7:
        this->change_configuration();
        break;
    default:
        this->restore_store();
        break;
    }
}

void soak_bed::end_host(host_slot& slot, int signal)
{
    if (!this->is_taking(slot)) {
        return;
    }
    this->series += (signal == SIGKILL ? " kill-" : " stop-") + slot.name;
    slot.is_ended = true;
    slot.is_planned = signal != SIGKILL;
    slot.unsettled.push_back(this->loop.now());
    slot.back_at = this->loop.now() + std::chrono::milliseconds(this->draw(1500));
    if (!slot.is_planned) {
        slot.disturbed = this->loop.now();
    }
    slot.host->process->send_signal(signal);
}

site_host_process& soak_bed::start_slot(host_slot& slot)
{
    this->write_settings(slot);
    return this->start_host(slot.name, {"--config", slot.settings_file, "--relay-listen", "127.0.0.1:0"});
}

void soak_bed::write_settings(const host_slot& slot)
{
    const auto draw = [this](const std::vector<const char*>& forms) {
        return forms[this->settings_random() % forms.size()];
    };
    // No connection can be made from an address of documentation (RFC 5737).
    std::ofstream(slot.settings_file)
        << "upstream-source=" << (slot.way_back_at ? "203.0.113.1:0" : "127.0.0.1:0") << "\n"
        << "longest-stop-ms=" << draw({"3600s", "3600000.0", "3.6e6", "soon", ""}) << "\n"
        << "revoke-limit-ms=" << draw({"5s", "5000.0", "5e3", "soon", "", "nan"}) << "\n"
        << "apply-limit-ms=" << draw({"2.0s", "2000", "2e3", "true"}) << "\n"
        << "retry-window-ms=" << draw({"10s", "10000.0", "s"}) << "\n";
}

void soak_bed::set_way(host_slot& slot, bool is_open)
{
    this->series += (is_open ? " way-" : " no-way-") + slot.name;
    slot.way_back_at = is_open
        ? std::nullopt
        : std::optional(this->loop.now() + std::chrono::milliseconds(300 + this->way_random() % 5000));
    slot.way_changed = this->loop.now();
    this->write_settings(slot);
    if (!slot.is_ended) {
        slot.host->process->send_signal(SIGHUP);
    }
}

void soak_bed::change_ways()
{
    for (host_slot& slot : this->slots) {
        if (slot.way_back_at && this->loop.now() >= *slot.way_back_at) {
            this->set_way(slot, true);
        }
    }
    host_slot& slot = this->slots[this->way_random() % this->slots.size()];
    if (this->way_random() % 6 == 0 && !slot.way_back_at && this->is_taking(slot)) {
        this->set_way(slot, false);
    }
}

bool soak_bed::has_relaying_host(const host_slot& slot) const
{
    const time_point now = this->loop.now();
    const auto is_calm = [this, now](const host_slot& item) {
        return this->is_taking(item) && this->is_settled(item, now) && now - item.disturbed >= contact_time;
    };
    return is_calm(slot) && std::any_of(this->slots.begin(), this->slots.end(), [&](const host_slot& other) {
        return other.name != slot.name && is_calm(other) && !other.way_back_at
            && now - other.way_changed >= contact_time;
    });
}

void soak_bed::TearDown()
{
    site_bed::TearDown();
    for (const host_slot& slot : this->slots) {
        std::remove(slot.settings_file.c_str());
    }
}

void soak_bed::suspend_host(host_slot& slot)
{
    if (!this->is_taking(slot)) {
        return;
    }
    this->series += " freeze-" + slot.name;
    slot.is_stopped = true;
    slot.unsettled.push_back(this->loop.now());
    slot.disturbed = this->loop.now();
    slot.back_at = this->loop.now() + std::chrono::milliseconds(300 + this->draw(2000));
    slot.host->process->send_signal(SIGSTOP);
}

void soak_bed::shut_store(host_slot& slot)
{
    if (!this->is_taking(slot)) {
        return;
    }
    this->series += " cut-" + slot.name;
    this->shut_gate(*slot.host);
    slot.back_at = this->loop.now() + std::chrono::milliseconds(300 + this->draw(3000));
}

void soak_bed::change_configuration()
{
    this->series += " configure";
    this->version += 1 + this->draw(3);
    if (this->draw(2) == 0) {
        this->withdrawn[this->keys.back()] = this->loop.now();
        this->keys.back() = "key-" + std::to_string(this->version + 10);
    }
    this->write_configuration(this->version, this->keys);
}

void soak_bed::restore_store()
{
    const bool is_calm = this->loop.now() - this->store_disturbed > restore_calm;
    const bool are_all_up = std::all_of(
        this->slots.begin(), this->slots.end(), [](const host_slot& slot) { return !slot.is_ended; });
    if (!is_calm || !are_all_up) {
        return;
    }
    this->series += " restore";
    this->store_disturbed = this->loop.now();
    this->store.restore(*this->copies[this->draw(static_cast<unsigned>(this->copies.size()))]);
    this->write_again_at = this->loop.now() + std::chrono::milliseconds(this->draw(1500));
    this->drop_silent_at = this->loop.now() + silence_limit;
}

void soak_bed::drop_silent_entries()
{
    std::set<std::string> alive;
    for (const auto& engine : this->engines) {
        alive.insert(engine->name());
    }
    for (const auto& service : this->services) {
        alive.insert(service->name());
    }
    const std::map<std::string, std::string> stored = this->store.newest("keyed.servers");
    for (const auto& [name, value] : stored) {
        if (alive.count(name) == 0) {
            this->store.put("keyed.servers", name, "");
        }
    }
}

void soak_bed::write_entries()
{
    this->write_configuration(this->version, this->keys);
    for (const auto& engine : this->engines) {
        engine->write_entry();
    }
    for (const auto& service : this->services) {
        service->write_entry();
    }
}

void soak_bed::settle()
{
    for (const auto& service : this->services) {
        service->lose_answers(0); // one that is yet to be lost would take the last check's
    }
    this->world.fatal_part.reset();
    const std::string leaving = this->notices->end();
    for (const auto& engine : this->engines) {
        if (engine->name() == leaving) {
            this->engines_disturbed = this->loop.now();
            engine->crash(); // it ends, and another start of it takes its place
        }
    }
    for (host_slot& slot : this->slots) {
        if (slot.way_back_at) {
            this->set_way(slot, true);
        }
    }
    const auto is_back = [this] {
        this->bring_back();
        this->name_limits();
        this->note_answers();
        return this->write_again_at == time_point{} && this->drop_silent_at == time_point{}
        && std::none_of(this->slots.begin(), this->slots.end(), [](const host_slot& slot) {
               return slot.is_ended || slot.is_stopped || !*slot.host->is_gate_open;
           });
    };
    run_until(this->loop, is_back);
    run_until(this->loop, [this] {
        this->note_answers();
        return std::all_of(this->requests.begin(), this->requests.end(),
            [](const asked& item) { return item.answered.has_value(); });
    });
    for (limited_time& item : this->limited) {
        item.end = std::min(item.end, this->loop.now());
    }
    this->name_limits();
}

void soak_bed::check_answers()
{
    for (const asked& item : this->requests) {
        this->check_answer(item);
    }
    EXPECT_EQ(this->world.order_faults, 0U) << "layers once for each token, in order, after" << this->series;
}

void soak_bed::check_answer(const asked& item)
{
    const int status = item.answer->status;
    const std::string what = item.id + " " + item.path + " at " + this->slots[item.slot].name + ", status "
        + std::to_string(status) + ", after" + this->series;
    const unsigned runs = this->world.runs[item.id];
    const bool found_no_way = item.answer->body.find("neither this host nor another") != std::string::npos;
    EXPECT_FALSE(found_no_way && item.had_relaying_host) << "another host could relay it: " << what;
    if (item.path == "/submit/x") {
        EXPECT_LE(runs, 1U) << "an unsafe request runs once: " << what;
        EXPECT_TRUE(!promises_not_run(status) || runs == 0) << "a refusal is true: " << what;
        EXPECT_TRUE(status != -1 || item.was_host_disturbed)
            << "nothing but a fault cuts a request: " << what;
    } else if (status == 200) {
        EXPECT_EQ(item.answer->body, this->whole_stream()) << "each event once, in order: " << what;
    } else {
        const bool are_engines_sound = this->engines_disturbed < item.sent - 2s;
        EXPECT_TRUE(status != -1 || item.was_host_disturbed || !are_engines_sound)
            << "nothing but a fault cuts a stream: " << what;
    }
    EXPECT_TRUE(item.key != unknown_key || (status != 200 && runs == 0)) << "nobody's key: " << what;
    const auto taken = this->withdrawn.find(item.key);
    if (taken != this->withdrawn.end() && item.sent > taken->second + revoke_limit) {
        EXPECT_NE(status, 200) << "a withdrawn key is refused: " << what;
    }
}

bool soak_bed::is_settled(const host_slot& slot, time_point moment) const
{
    return std::none_of(slot.unsettled.begin(), slot.unsettled.end(),
        [moment](time_point fault) { return fault <= moment && moment - fault < contact_time; });
}

std::vector<time_point> soak_bed::counted_arrivals(const limited_time& item) const
{
    std::map<std::string, std::size_t> slot_of;
    for (const asked& request : this->requests) {
        slot_of[request.id] = request.slot;
    }
    std::map<std::size_t, time_point> told;
    std::vector<time_point> counted;
    const auto found = this->world.arrivals.find(item.upstream);
    if (found == this->world.arrivals.end()) {
        return {};
    }
    for (const standins::request_arrival& arrival : found->second) {
        const auto slot = slot_of.find(arrival.request);
        if (slot == slot_of.end() || arrival.at < item.begin || arrival.at >= item.end) {
            continue;
        }
        const time_point first = told.try_emplace(slot->second, arrival.at).first->second;
        const bool counts =
            arrival.at >= item.begin + limit_contact_time && arrival.at >= first + told_margin;
        if (counts && this->is_settled(this->slots[slot->second], arrival.at)) {
            counted.push_back(arrival.at);
        }
    }
    return counted;
}

void soak_bed::check_limits() const
{
    for (const limited_time& item : this->limited) {
        EXPECT_LE(most_in_window(this->counted_arrivals(item)), most_allowed(item.requests_per_second))
            << item.upstream << " names " << item.requests_per_second << ", after" << this->series;
    }
}

void soak_bed::check_notices() const
{
    std::vector<seen_request> seen;
    for (const asked& item : this->requests) {
        seen.push_back({item.id, item.slot, item.sent, item.answered, item.answer->status});
    }
    const auto is_excused = [this](std::size_t slot, time_point begin, time_point end) {
        const std::vector<time_point>& faults = this->slots[slot].unsettled;
        return std::any_of(faults.begin(), faults.end(),
            [begin, end](time_point fault) { return fault >= begin && fault <= end; });
    };
    this->notices->check(seen, is_excused, this->series);
}

void soak_bed::check_hosts()
{
    this->pass(3s);
    const std::set<std::string> first = this->known_upstreams(*this->slots.front().host);
    for (const host_slot& slot : this->slots) {
        EXPECT_EQ(this->known_upstreams(*slot.host), first) << slot.name << " after" << this->series;
        const json status = json::parse(this->fetch(*slot.host, "/status"));
        EXPECT_EQ(status.at("bundle"), this->version) << slot.name << " after" << this->series;
        this->wait_until_served(*slot.host);
        const auto answer = this->ask(*slot.host, "last-" + slot.name, "/submit/x", this->keys.front());
        this->wait_for(answer);
        EXPECT_EQ(answer->status, 200) << slot.name << " after" << this->series;
    }
}

} // namespace sailtiller::tests
