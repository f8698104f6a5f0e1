// SPDX-License-Identifier: Apache-2.0
#include "sitepeers.h"

#include "storefailure.h"

#include <base/compression.h>
#include <base/error.h>
#include <base/json.h>
#include <base/numericaddress.h>
#include <runtime/eventlog.h>
#include <site/entryexchange.h>

namespace sailtiller {

namespace {

using std::chrono::milliseconds;

/// Name the questions to the peer.
constexpr const char* report_method = "site-report";
constexpr const char* bundle_method = "site-bundle";
constexpr const char* entries_method = "site-entries";
constexpr const char* hosts_method = "site-hosts";
constexpr const char* crashes_method = "site-crashes";
constexpr duration connect_limit = milliseconds(500);
constexpr duration answer_limit = milliseconds(600);
/// To a bundle's whole text, or a list: 2.5 MB on a link of 20 Mbit/s, packed about a tenth of its size.
constexpr duration text_answer_limit = milliseconds(1000);
/// Guards against malformed bytes of a peer: the states of 500,000 hosts.
constexpr std::size_t max_text_bytes = std::size_t{64} * 1024 * 1024;
/// A leaving upstream, a new bundle and the work at the upstreams reach every host within a round or two.
constexpr duration round_interval = host_table_settings().round_interval;
/// The same while this host is new: after all hosts were down, their callers come back to all of them at
/// once, and each must know what the others send where.
constexpr duration new_round_interval = milliseconds(100);
/// A request waits for it; a host that takes longer is passed over.
constexpr duration limit_answer_limit = milliseconds(400);
/// Of the peers asked in one round, those that may answer with changes of the upstreams' entries, as they
/// all know the same ones; a second one covers the time until the first is missed.
constexpr std::size_t peers_asked_for_changes = 2;
/// Hosts to which crash records are sent at once; each sends on what is urgent, so that a thousand know it
/// after four hops.
constexpr std::size_t hosts_told_at_once = 8;
/// A connection to a peer that was not used for so long is closed: partners are asked every two seconds.
constexpr duration connection_idle_limit = std::chrono::seconds(20);
/// After a failed call to the store.
constexpr duration record_retry = milliseconds(700);
/// Interval between checks whether more records have to be read: a few rounds of reports, in which known
/// hosts name others.
constexpr duration record_check_interval = std::chrono::seconds(1);
/// A host that hears no other one reads the records again this often.
constexpr duration isolated_read_interval = std::chrono::seconds(3);

std::string write_record(const known_host& host)
{
    return json({{"address", host.address.value()}, {"data_hall", host.data_hall.value()}}).dump();
}

known_host read_record(const std::string& key, const std::string& value)
{
    const json item = parse_json(value);
    return {host_id(key), read_endpoint(item.at("address").get<std::string>()),
        data_hall_id(item.at("data_hall").get<std::string>())};
}

} // namespace

site_peers::site_peers(event_loop& loop, store_client& store, known_host self, site_peers_hooks hooks)
    : loop(loop)
    , store(store)
    , hooks(std::move(hooks))
    , table(std::move(self), {})
    , client(loop, connect_limit)
    , server(loop,
          [this](const std::string& method, const std::string& body) { return this->answer(method, body); })
    , rounds(loop, "exchange reports", round_interval, [this] { this->run_round(); })
    , record_checks(loop, "check host records", record_check_interval, [this] { this->check_records(); })
{
}

endpoint site_peers::start(const endpoint& address)
{
    this->table.set_own_address(this->server.listen(address));
    this->write_own_record();
    this->table.note_start(this->loop.now());
    this->rounds.start();
    this->record_checks.start_after(record_check_interval);
    return this->table.own().address;
}

void site_peers::write_own_record()
{
    const known_host& self = this->table.own();
    this->store.put(
        store_topic::hosts, {self.id.value(), write_record(self)}, [this] { this->read_first_records(); },
        [this](const error& failure) {
            log_store_failure(failure);
            this->loop.schedule_after(record_retry, [this] { this->write_own_record(); });
        });
}

void site_peers::renew_record(duration turn)
{
    this->loop.schedule_after(turn, [this] { this->write_own_record(); });
}

void site_peers::read_first_records()
{
    if (this->is_reading_records) {
        return;
    }
    this->recorded_hosts = 0;
    this->read_records(std::nullopt);
}

void site_peers::read_records(const std::optional<std::string>& after)
{
    this->is_reading_records = true;
    this->store.read_newest_page(
        store_topic::hosts, after,
        [this, after](const newest_page& page) {
            this->is_reading_records = false;
            this->records_read = this->loop.now();
            // A page that ends where it began would be read again and again.
            this->further_records = page.continue_after == after ? std::nullopt : page.continue_after;
            this->add_recorded_hosts(page.records);
            this->ask_peers();
            if (!after) {
                this->hooks.on_records(this->table);
            }
            this->hooks.on_round(this->table);
        },
        [this, after](const error& failure) {
            log_store_failure(failure);
            this->loop.schedule_after(record_retry, [this, after] { this->read_records(after); });
        });
}

void site_peers::check_records()
{
    const time_point now = this->loop.now();
    if (this->is_reading_records || !this->records_read
        || now - *this->records_read < record_check_interval) {
        return;
    }
    // The hosts of a page normally report those that the page lacks. They can't if they are gone, or if they
    // started together with this host and read the same page.
    const bool has_learned_of_others = this->table.known_count() > 1 + this->recorded_hosts;
    if (this->further_records && !has_learned_of_others) {
        this->read_records(this->further_records);
    } else if (this->table.live_count(now) <= 1 && now - *this->records_read >= isolated_read_interval) {
        this->read_first_records();
    }
}

void site_peers::add_recorded_hosts(const std::vector<keyed_record>& records)
{
    for (const keyed_record& record : records) {
        if (!record.value) {
            continue;
        }
        try {
            const known_host host = read_record(record.key, *record.value);
            this->recorded_hosts += host.id == this->table.own().id ? 0 : 1;
            this->table.add(host, this->loop.now());
        } catch (const std::exception& malformed) {
            log_event(log_level::warning, event_type::host_record_unusable,
                {{"peer", record.key}, {"reason", malformed.what()}});
        }
    }
}

peer_report site_peers::make_report(const host_id& receiver, const peer_report* asker)
{
    this->table.set_own_state(this->hooks.is_leaving(), this->hooks.reads_store());
    peer_report report;
    this->table.fill_report(report, receiver, this->loop.now());
    report.is_leaving = this->hooks.is_leaving();
    report.reads_store = this->hooks.reads_store();
    this->hooks.fill_report(report, asker);
    return report;
}

void site_peers::take(const peer_report& report)
{
    this->table.record_report(report, this->loop.now());
    this->hooks.take_report(report);
}

void site_peers::run_round()
{
    this->rounds.set_interval(this->table.is_new(this->loop.now()) ? new_round_interval : round_interval);
    this->ask_peers();
    this->client.close_idle(connection_idle_limit);
    this->hooks.on_round(this->table);
}

void site_peers::announce_leaving()
{
    this->ask_peers();
}

void site_peers::ask_peers()
{
    std::size_t asked = 0;
    for (const known_host& peer : this->table.select_hosts_to_query(this->loop.now())) {
        this->ask(peer, asked < peers_asked_for_changes);
        ++asked;
    }
}

void site_peers::ask(const known_host& peer, bool wants_changes)
{
    const time_point asked = this->loop.now();
    peer_report question = this->make_report(peer.id, nullptr);
    question.wants_changes = wants_changes;
    this->client.ask(
        peer.address, report_method, encode_peer_report(question), answer_limit,
        [this, asked, peer](const std::string& body) {
            try {
                this->take_answer(peer, decode_peer_report(body), asked);
            } catch (const error& malformed) {
                log_event(log_level::warning, event_type::peer_answer_malformed,
                    {{"step", malformed.step()}, {"peer", peer.id.value()}, {"reason", malformed.reason()}});
            }
        },
        [name = peer.id](const peer_failure& failure) {
            log_event(log_level::debug, event_type::peer_unreachable,
                {{"step", "exchange reports"}, {"peer", name.value()}, {"reason", failure.reason}});
        });
}

void site_peers::take_answer(const known_host& peer, const peer_report& report, time_point asked)
{
    this->take(report);
    this->hooks.take_answer(report, asked);
    if (this->table.should_ask_for_all(report, this->loop.now())) {
        this->ask_hosts(peer);
    }
}

void site_peers::ask_hosts(const known_host& peer)
{
    this->ask_text(peer, hosts_method, {}, "ask for hosts",
        [this, name = peer.id](const std::optional<std::string>& answer) {
            if (!answer) {
                return;
            }
            try {
                const std::string text = unpack_text(*answer, max_text_bytes);
                this->table.merge_states(decode_host_news(text), this->loop.now());
            } catch (const error& malformed) {
                log_event(log_level::warning, event_type::peer_answer_malformed,
                    {{"step", malformed.step()}, {"peer", name.value()}, {"reason", malformed.reason()}});
            }
        });
}

void site_peers::ask_text(const known_host& peer, const char* method, const std::string& body,
    const char* step, const text_handler& on_answer)
{
    this->client.ask(
        peer.address, method, body, text_answer_limit,
        [on_answer](const std::string& answer) { on_answer(answer); },
        [on_answer, step, name = peer.id](const peer_failure& failure) {
            log_event(log_level::debug, event_type::peer_unreachable,
                {{"step", step}, {"peer", name.value()}, {"reason", failure.reason}});
            on_answer(std::nullopt);
        });
}

void site_peers::ask_bundle(const known_host& peer, const text_handler& on_answer)
{
    this->ask_text(peer, bundle_method, {}, "ask for bundle", on_answer);
}

void site_peers::ask_entries(
    const known_host& peer, const std::optional<log_offset>& known, const text_handler& on_answer)
{
    this->ask_text(peer, entries_method, encode_entry_question(known), "ask for entries", on_answer);
}

void site_peers::ask_limit(const known_host& peer, const limit_query& question,
    const std::function<void(const limit_grant&)>& on_grant, const std::function<void()>& on_failure)
{
    this->client.ask(
        peer.address, limit_query_method, encode_limit_query(question), limit_answer_limit,
        [on_grant, on_failure, name = peer.id](const std::string& body) {
            std::optional<limit_grant> grant;
            try {
                grant = decode_limit_grant(body);
            } catch (const error& malformed) {
                log_event(log_level::warning, event_type::peer_answer_malformed,
                    {{"step", malformed.step()}, {"peer", name.value()}, {"reason", malformed.reason()}});
            }
            if (grant) {
                on_grant(*grant);
            } else {
                on_failure();
            }
        },
        [on_failure, name = peer.id](const peer_failure& failure) {
            log_event(log_level::debug, event_type::peer_unreachable,
                {{"step", "ask for a part of a limit"}, {"peer", name.value()}, {"reason", failure.reason}});
            on_failure();
        });
}

void site_peers::send_crashes(const std::vector<crash_record>& crashes)
{
    std::vector<known_host> others = this->table.live_hosts(this->loop.now());
    std::erase_if(others, [this](const known_host& host) { return host.id == this->table.own().id; });
    const std::string body = encode_crash_records(crashes);
    for (const known_host& peer : draw_some(std::move(others), hosts_told_at_once, this->hooks.random)) {
        this->ask_text(peer, crashes_method, body, "send crash records", [](const auto&) {});
    }
}

std::optional<std::string> site_peers::answer(const std::string& method, const std::string& body)
{
    try {
        return this->answer_typed(method, body);
    } catch (const error& malformed) {
        log_event(log_level::warning, event_type::peer_question_malformed,
            {{"step", malformed.step()}, {"peer", method}, {"reason", malformed.reason()}});
        return std::nullopt;
    }
}

std::optional<std::string> site_peers::answer_typed(const std::string& method, const std::string& body)
{
    if (method == report_method) {
        const peer_report report = decode_peer_report(body);
        this->take(report);
        return encode_peer_report(this->make_report(report.sender.id, &report));
    }
    if (method == bundle_method) {
        return this->hooks.give_bundle();
    }
    if (method == entries_method) {
        return this->hooks.give_entries(decode_entry_question(body));
    }
    if (method == hosts_method) {
        return pack_text(encode_host_news(this->table.list_states()));
    }
    if (method == crashes_method) {
        this->hooks.take_crashes(decode_crash_records(body));
        return std::string();
    }
    if (method == limit_query_method) {
        return encode_limit_grant(this->hooks.answer_limit(decode_limit_query(body)));
    }
    return std::nullopt;
}

} // namespace sailtiller
