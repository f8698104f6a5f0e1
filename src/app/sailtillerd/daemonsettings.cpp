// SPDX-License-Identifier: Apache-2.0
#include "daemonsettings.h"

#include <base/error.h>
#include <runtime/programsettings.h>
#include <runtime/textfile.h>

#include <algorithm>
#include <sys/resource.h>

namespace sailtiller {

namespace {

constexpr std::int64_t most_body_bytes = 1LL << 30;
constexpr std::int64_t least_memory_mb = 64;
constexpr std::int64_t most_memory_mb = 1'000'000;
constexpr std::size_t bytes_per_mb = 1'000'000;
constexpr std::int64_t least_descriptors = 64;
constexpr std::int64_t most_descriptors = 1'000'000;
constexpr std::int64_t most_request_time = 600'000;
constexpr std::int64_t most_stop_time = 86'400'000;
/// Each request of the window is remembered.
constexpr std::int64_t most_retry_window = 3'600'000;
constexpr std::int64_t most_retention = 366LL * 86'400'000;

void declare_all(program_settings& flags)
{
    flags.declare("host-id", "name of this host, unique in the fleet", std::nullopt);
    flags.declare("data-hall", "the data hall in which this host stands", std::nullopt);
    flags.declare_optional("deployment", "name of the fleet, to which bundles are bound");
    flags.declare("listen", "address for callers", "127.0.0.1:8080");
    flags.declare("admin-listen", "address for health, metrics and status", "127.0.0.1:8081");
    flags.declare_optional("metrics-listen",
        "a further address for the pages of admin-listen, for whoever "
        "collects metrics");
    flags.declare_optional("peer-listen", "address for the other hosts; without it this host works alone");
    flags.declare_optional("relay-listen",
        "address at which other hosts ask this one to send requests to upstreams that they can't reach");
    flags.declare_optional("tls-certificate", "certificate chain in PEM form; callers then use TLS");
    flags.declare_optional("tls-key", "key of the certificate in PEM form");
    flags.declare_optional("log-address", "the log service that holds signed bundles");
    flags.declare("log-stream", "stream of the log that holds the bundles", "bundles");
    flags.declare("log-retention-ms", "how long the log keeps records", "86400000");
    flags.declare_optional("host-list-address", "the platform's list of hosts");
    flags.declare_list("trusted-key", "file with an operator's public key in PEM form");
    flags.declare_optional(
        "store-address", "the platform's store; bundle, upstreams and duties come from there");
    flags.declare_optional(
        "upstream-source", "local address and port (0: any) from which upstreams are connected");
    flags.declare("apply-limit-ms", "an accepted bundle is in force within this", "2000");
    flags.declare("revoke-limit-ms", "a withdrawn key is not used for longer than this", "5000");
    flags.declare("retry-ratio", "repeated sends of the fleet for each request", "0.2");
    flags.declare("retry-slack", "repeated sends of the fleet beyond these, in each window", "20");
    flags.declare("retry-window-ms", "the window over which repeated sends are counted", "10000");
    flags.declare("most-body-bytes", "largest request body", "4194304");
    flags.declare("most-header-bytes", "largest sum of a request's headers", "32768");
    flags.declare(
        "memory-mb", "memory of this process; half of it may be held for callers and upstreams", "260");
    flags.declare("max-descriptors",
        "descriptors of this process; a quarter is kept for other uses than callers", "4100");
    flags.declare("request-time-ms", "time in which a caller must have sent its request", "10000");
    flags.declare("stop-grace-ms", "time for the balancer to notice, before connections are refused", "3000");
    flags.declare("longest-stop-ms", "streams that still run after this are cut off", "3600000");
    flags.declare("log-level", "least level that is logged: debug, info, warning or error", "info");
    flags.declare("log-layout", "text or json", "text");
}

/// Connections of callers, so that descriptors are left for upstreams, the store and other hosts.
std::size_t read_most_connections(program_settings& flags)
{
    auto count =
        static_cast<std::size_t>(flags.integer("max-descriptors", least_descriptors, most_descriptors));
    rlimit system{};
    if (getrlimit(RLIMIT_NOFILE, &system) == 0) {
        count = std::min<std::size_t>(count, system.rlim_cur);
    }
    return count - count / 4;
}

std::vector<public_key> read_keys(program_settings& flags)
{
    std::vector<public_key> keys;
    for (const std::string& path : flags.texts("trusted-key")) {
        try {
            keys.push_back(public_key::from_pem(read_text_file(path), path));
        } catch (const error& unusable) {
            flags.add_fault("trusted-key", path, std::string("a readable Ed25519 key; ") + unusable.what());
        }
    }
    if (keys.empty()) {
        flags.add_fault("trusted-key", "", "at least one file with a public key");
    }
    return keys;
}

std::optional<tls_files> read_tls(program_settings& flags)
{
    const std::optional<std::string> certificate = flags.optional_text("tls-certificate");
    const std::optional<std::string> key = flags.optional_text("tls-key");
    if (certificate.has_value() != key.has_value()) {
        flags.add_fault(certificate ? "tls-key" : "tls-certificate", "", "both TLS files, or neither");
    }
    if (!certificate || !key) {
        return std::nullopt;
    }
    return tls_files{*certificate, *key};
}

/// A setting that must be given because the bundles come from the log service.
std::string require_text(program_settings& flags, const std::string& name)
{
    const std::optional<std::string> value = flags.optional_text(name);
    if (!value) {
        flags.add_fault(name, "", "a value, unless store-address is set");
    }
    return value.value_or("");
}

std::optional<store_settings> read_store(program_settings& flags)
{
    const std::optional<endpoint> address = flags.optional_address("store-address");
    if (!address) {
        return std::nullopt;
    }
    constexpr double most_ratio = 10;
    constexpr double most_slack = 1e9;
    constexpr std::int64_t least_limit = 100;
    store_settings store;
    store.address = *address;
    store.reading.apply_limit = flags.milliseconds("apply-limit-ms", least_limit, most_stop_time);
    store.reading.revoke_limit = flags.milliseconds("revoke-limit-ms", least_limit, most_stop_time);
    store.upstream_source = flags.optional_address("upstream-source");
    store.retries.ratio = flags.number("retry-ratio", 0, most_ratio);
    store.retries.slack = flags.number("retry-slack", 0, most_slack);
    store.retries.window = flags.milliseconds("retry-window-ms", least_limit, most_retry_window);
    return store;
}

log_settings read_log_settings(program_settings& flags)
{
    log_settings log;
    const std::string level = flags.choice("log-level", {"debug", "info", "warning", "error"});
    log.least = level == "debug" ? log_level::debug
        : level == "warning"     ? log_level::warning
        : level == "error"       ? log_level::failure
                                 : log_level::info;
    log.layout = flags.choice("log-layout", {"text", "json"}) == "json" ? log_layout::json : log_layout::text;
    return log;
}

} // namespace

daemon_settings read_daemon_settings(
    const std::vector<std::string>& arguments, const std::map<std::string, std::string>& earlier)
{
    program_settings flags("sailtillerd", "sailtillerd: one entry host of a sailtiller fleet.");
    declare_all(flags);
    flags.set_replacements(earlier);
    flags.parse(arguments);
    daemon_settings settings;
    settings.arguments = arguments;
    settings.file = flags.optional_text("config");
    settings.self = host_id(flags.text("host-id"));
    settings.data_hall = data_hall_id(flags.text("data-hall"));
    settings.store = read_store(flags);
    if (!settings.store) {
        settings.trust.deployment = require_text(flags, "deployment");
        settings.trust.keys = read_keys(flags);
        settings.log_address = endpoint(require_text(flags, "log-address"));
        if (!settings.log_address.value().empty()) {
            settings.log_address = flags.address("log-address");
        }
    }
    settings.listen = flags.address("listen");
    settings.admin_listen = flags.address("admin-listen");
    settings.metrics_listen = flags.optional_address("metrics-listen");
    settings.peer_listen = flags.optional_address("peer-listen");
    settings.relay_listen = flags.optional_address("relay-listen");
    settings.tls = read_tls(flags);
    settings.log_stream = flags.text("log-stream");
    settings.log_retention = flags.milliseconds("log-retention-ms", 1000, most_retention);
    settings.host_list_address = flags.optional_address("host-list-address");
    settings.limits.most_body_bytes =
        static_cast<std::size_t>(flags.integer("most-body-bytes", 1024, most_body_bytes));
    settings.limits.most_header_bytes =
        static_cast<std::size_t>(flags.integer("most-header-bytes", 1024, most_body_bytes));
    settings.limits.memory = make_memory_budget(
        bytes_per_mb * static_cast<std::size_t>(flags.integer("memory-mb", least_memory_mb, most_memory_mb)));
    settings.limits.most_connections = read_most_connections(flags);
    settings.limits.request_time = flags.milliseconds("request-time-ms", 100, most_request_time);
    settings.stop_grace = flags.milliseconds("stop-grace-ms", 0, most_stop_time);
    settings.longest_stop = flags.milliseconds("longest-stop-ms", 0, most_stop_time);
    settings.log = read_log_settings(flags);
    if (settings.store && !settings.peer_listen) {
        flags.add_fault("peer-listen", "", "an address, as store-address is set");
    }
    for (const std::string& extra : flags.arguments()) {
        flags.add_fault("", extra, "no arguments besides flags");
    }
    flags.require_sound();
    settings.replaced = flags.replaced();
    settings.used_texts = flags.used_texts();
    return settings;
}

void log_replaced_settings(const daemon_settings& settings)
{
    for (const replaced_setting& item : settings.replaced) {
        log_event(log_level::failure, event_type::setting_replaced,
            {{"setting", item.name}, {"reason", item.reason}});
    }
}

} // namespace sailtiller
