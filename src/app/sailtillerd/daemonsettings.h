// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/activationfold.h>
#include <routing/retryallowance.h>
#include <runtime/eventlog.h>
#include <runtime/httpserver.h>
#include <runtime/programsettings.h>
#include <site/storereadschedule.h>

namespace sailtiller {

/// How this host works with the platform's store: bundle, upstreams and duties then come from there.
struct store_settings
{
    endpoint address;
    store_read_settings reading;
    retry_allowance_settings retries;
    /// Address from which upstreams are connected; the system chooses without it.
    std::optional<endpoint> upstream_source;
};

/// Everything that a host process is told from outside. docs/operators/running.md lists the flags.
struct daemon_settings
{
    std::vector<std::string> arguments; ///< from which these were read, to read them again
    std::optional<std::string> file; ///< the settings file, if there is one
    host_id self;
    data_hall_id data_hall;
    trust_settings trust;
    endpoint listen;
    endpoint admin_listen;
    std::optional<endpoint> metrics_listen;
    std::optional<endpoint> peer_listen;
    std::optional<endpoint> relay_listen; ///< without it, this host relays nothing for others
    std::optional<tls_files> tls;
    endpoint log_address;
    std::string log_stream;
    duration log_retention{};
    std::optional<endpoint> host_list_address;
    http_server_limits limits;
    duration stop_grace{};
    duration longest_stop{};
    std::optional<store_settings> store; ///< without it, bundles come from the log service
    log_settings log;
    std::vector<replaced_setting> replaced; ///< of the file
    std::map<std::string, std::string> used_texts; ///< numbers and times in use, by name
};

/// Reads flags, environment and file. Numbers and times of the file that can't be used are replaced, by those
/// of `earlier` if it is given. Throws `settings_stop` with all other faults at once.
daemon_settings read_daemon_settings(
    const std::vector<std::string>& arguments, const std::map<std::string, std::string>& earlier = {});

/// Writes a line for each setting that was replaced.
void log_replaced_settings(const daemon_settings& settings);

} // namespace sailtiller
