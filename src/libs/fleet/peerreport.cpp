// SPDX-License-Identifier: Apache-2.0
#include <fleet/cbormessage.h>
#include <fleet/limitmessages.h>
#include <fleet/peerreport.h>

namespace sailtiller {

namespace {

json write_host(const known_host& host)
{
    return json::array({host.id.value(), host.address.value(), host.data_hall.value()});
}

known_host read_host(const json& item)
{
    return {host_id(item.at(0).get<std::string>()), endpoint(item.at(1).get<std::string>()),
        data_hall_id(item.at(2).get<std::string>())};
}

json write_changes(const peer_report& report)
{
    json list = json::array();
    for (const entry_change& change : report.changes) {
        list.push_back(json::array({change.key, write_optional(change.value)}));
    }
    return list;
}

json write_work(const peer_report& report)
{
    json list = json::array();
    for (const upstream_work& item : report.work) {
        // Whole numbers are shorter in CBOR, and fractions of a token are negligible.
        list.push_back(json::array(
            {item.id.value(), static_cast<std::uint64_t>(item.token_layers), item.requests, item.led}));
    }
    return list;
}

json write_suspicions(const std::vector<upstream_suspicion>& suspicions)
{
    json list = json::array();
    for (const upstream_suspicion& item : suspicions) {
        list.push_back(json::array({item.id.value(), item.left.count()}));
    }
    return list;
}

json write_signs(const peer_report& report)
{
    json list = json::array();
    for (const upstream_probe_result& item : report.signs) {
        list.push_back(json::array({item.id.value(), item.pace, item.age.count()}));
    }
    return list;
}

json write_holdings(const peer_report& report)
{
    json list = json::array();
    for (const reported_layers& item : report.holdings) {
        list.push_back(json::array({item.id.value(), item.begin, item.end, item.age.count()}));
    }
    return list;
}

json write_leaving(const peer_report& report)
{
    json list = json::array();
    for (const upstream_id& id : report.leaving_upstreams) {
        list.push_back(id.value());
    }
    return list;
}

json write_ids(const std::vector<host_id>& ids)
{
    json list = json::array();
    for (const host_id& id : ids) {
        list.push_back(id.value());
    }
    return list;
}

json write_news(const std::vector<host_state>& news)
{
    json list = json::array();
    for (const host_state& item : news) {
        list.push_back(json::array({write_host(item.host), item.incarnation.value(), item.is_leaving,
            item.reads_store, write_ids(item.unreachable_from)}));
    }
    return list;
}

std::vector<host_state> read_news(const json& list)
{
    std::vector<host_state> news;
    for (const json& item : list) {
        host_state state;
        state.host = read_host(item.at(0));
        state.incarnation = incarnation_number(item.at(1).get<std::uint64_t>());
        state.is_leaving = item.at(2).get<bool>();
        state.reads_store = item.at(3).get<bool>();
        for (const json& id : item.at(4)) {
            state.unreachable_from.emplace_back(id.get<std::string>());
        }
        news.push_back(std::move(state));
    }
    return news;
}

json write_crashes(const std::vector<crash_record>& crashes)
{
    json list = json::array();
    for (const crash_record& item : crashes) {
        json crashed = json::array();
        json ages = json::array();
        for (const reported_crash& crash : item.crashes) {
            crashed.push_back(crash.upstream.value());
            ages.push_back(crash.age.count());
        }
        list.push_back(json::array({write_suspect_key(item.suspect), crashed, item.trials, item.clearances,
            item.age.count(), ages, write_age(item.pass_age)}));
    }
    return list;
}

json write_limits(const peer_report& report)
{
    json list = json::array();
    for (const limit_statement& item : report.limits) {
        list.push_back(write_limit_statement(item));
    }
    return list;
}

json write_groups(const std::vector<upstream_group>& groups)
{
    json list = json::array();
    for (const upstream_group& group : groups) {
        list.push_back(json::array({group.service.value(), group.data_hall.value()}));
    }
    return list;
}

std::vector<upstream_group> read_groups(const json& list)
{
    std::vector<upstream_group> groups;
    for (const json& group : list) {
        groups.push_back(
            {service_id(group.at(0).get<std::string>()), data_hall_id(group.at(1).get<std::string>())});
    }
    return groups;
}

/// Writes what concerns relaying, where there is something to tell.
void write_relaying(const peer_report& report, json& item)
{
    if (report.relay_address) {
        item["relay"] = report.relay_address->value();
    }
    if (report.relayed_calls > 0) {
        item["relayed_calls"] = report.relayed_calls;
    }
    if (!report.unreachable.empty()) {
        item["unreachable"] = write_groups(report.unreachable);
    }
    for (const relaying_host& other : report.relaying_hosts) {
        item["relaying_hosts"].push_back(json::array({write_host(other.host), other.relay_address.value(),
            other.relayed_calls, write_groups(other.unreachable), other.age.count()}));
    }
}

void read_relaying(const json& item, peer_report& report)
{
    if (item.contains("relay")) {
        report.relay_address = endpoint(item.at("relay").get<std::string>());
    }
    report.relayed_calls = item.value("relayed_calls", 0U);
    report.unreachable = read_groups(item.value("unreachable", json::array()));
    for (const json& other : item.value("relaying_hosts", json::array())) {
        report.relaying_hosts.push_back(
            {read_host(other.at(0)), endpoint(other.at(1).get<std::string>()), other.at(2).get<unsigned>(),
                read_groups(other.at(3)), duration(other.at(4).get<duration::rep>())});
    }
}

/// Writes the load seen by the sender, if it controls admission.
void write_load(const load_summary& load, json& item)
{
    if (load.is_empty()) {
        return;
    }
    json arrivals = json::array();
    for (const auto& [kind, per_second] : load.arrivals) {
        arrivals.push_back(json::array({kind.priority, kind.route_priority, kind.is_first_try, per_second}));
    }
    item["load"] =
        json::array({arrivals, load.first_events, load.slow_first_events, load.waiting, load.slow_waiting});
}

load_summary read_load(const json& item)
{
    load_summary load;
    if (!item.contains("load")) {
        return load;
    }
    const json& fields = item.at("load");
    for (const json& arrivals : fields.at(0)) {
        if (load.arrivals.size() < most_request_classes) {
            const request_class kind{
                arrivals.at(0).get<int>(), arrivals.at(1).get<int>(), arrivals.at(2).get<bool>()};
            load.arrivals[kind] = std::max(0.0, arrivals.at(3).get<double>());
        }
    }
    const auto read_amount = [&fields](
                                 std::size_t index) { return std::max(0.0, fields.at(index).get<double>()); };
    load.first_events = read_amount(1);
    load.slow_first_events = read_amount(2);
    load.waiting = read_amount(3);
    load.slow_waiting = read_amount(4);
    return load;
}

crash_record read_crash(const json& item)
{
    crash_record record;
    record.suspect = read_suspect_key(item.at(0).get<std::string>());
    record.trials = item.at(2).get<unsigned>();
    record.clearances = item.at(3).get<unsigned>();
    record.age = duration(item.at(4).get<duration::rep>());
    constexpr std::size_t fields_of_older_releases = 5;
    const bool has_times = item.size() > fields_of_older_releases;
    for (std::size_t number = 0; number < item.at(1).size(); ++number) {
        record.crashes.push_back({upstream_id(item.at(1).at(number).get<std::string>()),
            has_times ? duration(item.at(5).at(number).get<duration::rep>()) : record.age});
    }
    if (has_times) {
        record.pass_age = read_age(item.at(6));
    }
    return record;
}

std::vector<crash_record> read_crashes(const json& list)
{
    std::vector<crash_record> crashes;
    for (const json& item : list) {
        crashes.push_back(read_crash(item));
    }
    return crashes;
}

std::vector<upstream_suspicion> read_suspicions(const json& list)
{
    std::vector<upstream_suspicion> suspicions;
    for (const json& item : list) {
        suspicions.push_back(
            {upstream_id(item.at(0).get<std::string>()), duration(item.at(1).get<duration::rep>())});
    }
    return suspicions;
}

void read_lists(const json& item, peer_report& report)
{
    for (const json& change : item.at("changes")) {
        report.changes.push_back({change.at(0).get<std::string>(), read_optional<std::string>(change.at(1))});
    }
    for (const json& work : item.at("work")) {
        // Older releases don't tell which requests an upstream leads.
        constexpr std::size_t fields_of_older_releases = 3;
        const std::size_t led_at = work.size() > fields_of_older_releases ? 3 : 2;
        report.work.push_back({upstream_id(work.at(0).get<std::string>()), work.at(1).get<double>(),
            work.at(2).get<unsigned>(), work.at(led_at).get<unsigned>()});
    }
    report.suspicions = read_suspicions(item.at("suspicions"));
    // Absent in reports of older releases.
    report.unwilling = read_suspicions(item.value("unwilling", json::array()));
    for (const json& sign : item.at("signs")) {
        report.signs.push_back({upstream_id(sign.at(0).get<std::string>()), sign.at(1).get<double>(),
            duration(sign.at(2).get<duration::rep>())});
    }
    for (const json& holding : item.at("holdings")) {
        report.holdings.push_back(
            {upstream_id(holding.at(0).get<std::string>()), holding.at(1).get<unsigned>(),
                holding.at(2).get<unsigned>(), duration(holding.at(3).get<duration::rep>())});
    }
    report.news = read_news(item.value("news", json::array()));
    // The fields below are absent in reports of older releases.
    report.crashes = read_crashes(item.value("crashes", json::array()));
    for (const json& id : item.value("leaving_upstreams", json::array())) {
        report.leaving_upstreams.emplace_back(id.get<std::string>());
    }
    for (const json& limit : item.value("limits", json::array())) {
        report.limits.push_back(read_limit_statement(limit));
    }
}

} // namespace

std::string encode_host_news(const std::vector<host_state>& news)
{
    return to_cbor(write_news(news));
}

std::vector<host_state> decode_host_news(const std::string& bytes)
{
    return decode_cbor("read states of hosts", bytes, [](const json& item) { return read_news(item); });
}

std::string encode_crash_records(const std::vector<crash_record>& crashes)
{
    return to_cbor(write_crashes(crashes));
}

std::vector<crash_record> decode_crash_records(const std::string& bytes)
{
    return decode_cbor("read crash records", bytes, [](const json& item) { return read_crashes(item); });
}

std::string encode_peer_report(const peer_report& report)
{
    json item = {{"sender", write_host(report.sender)}, {"leaving", report.is_leaving},
        {"version", report.bundle_version}, {"bundle_age", write_age(report.bundle_age)},
        {"offset", write_optional(report.entries_offset)}, {"entries_age", write_age(report.entries_age)},
        {"disturbed_age", write_age(report.store_disturbed_age)}, {"reads_store", report.reads_store},
        {"withheld_offset", write_optional(report.withheld_offset)}, {"whole", report.are_entries_whole},
        {"wants_changes", report.wants_changes}, {"changes", write_changes(report)},
        {"work", write_work(report)}, {"suspicions", write_suspicions(report.suspicions)},
        {"unwilling", write_suspicions(report.unwilling)}, {"signs", write_signs(report)},
        {"holdings", write_holdings(report)}, {"incarnation", report.incarnation.value()},
        {"hosts_digest", report.hosts_digest}, {"news", write_news(report.news)},
        {"crashes", write_crashes(report.crashes)}, {"limits", write_limits(report)},
        {"leaving_upstreams", write_leaving(report)},
        // Required by older releases.
        {"hosts", json::array()}};
    write_relaying(report, item);
    write_load(report.load, item);
    return to_cbor(item);
}

peer_report decode_peer_report(const std::string& bytes)
{
    return decode_cbor("read peer report", bytes, [](const json& item) {
        peer_report report;
        report.sender = read_host(item.at("sender"));
        report.is_leaving = item.at("leaving").get<bool>();
        report.bundle_version = item.at("version").get<std::uint64_t>();
        report.bundle_age = read_age(item.at("bundle_age"));
        report.entries_offset = read_optional<std::uint64_t>(item.at("offset"));
        report.entries_age = read_age(item.at("entries_age"));
        report.store_disturbed_age = read_age(item.at("disturbed_age"));
        // Absent in reports of older releases, which count as reading the store.
        report.reads_store = item.value("reads_store", true);
        report.are_entries_whole = item.at("whole").get<bool>();
        // Older releases send no withheld offset.
        report.withheld_offset = read_optional<std::uint64_t>(item.value("withheld_offset", json()));
        report.wants_changes = item.value("wants_changes", true);
        report.incarnation = incarnation_number(item.value("incarnation", std::uint64_t{1}));
        report.hosts_digest = item.value("hosts_digest", std::uint64_t{0});
        read_lists(item, report);
        read_relaying(item, report);
        report.load = read_load(item);
        return report;
    });
}

} // namespace sailtiller
