// SPDX-License-Identifier: Apache-2.0
#include "commands.h"

#include <base/error.h>
#include <base/httpstatus.h>
#include <base/json.h>
#include <base/percentencoding.h>
#include <operations/operatorsession.h>

#include <iostream>

namespace sailtiller {

namespace {

const std::string status_usage = "sailtiller fleet status --host ADDRESS ...";
const std::string explain_usage = "sailtiller explain REQUEST-ID --host ADDRESS ...";

std::vector<std::string> read_hosts(program_settings& flags)
{
    std::vector<std::string> hosts = flags.texts("host");
    if (hosts.empty()) {
        flags.add_fault("host", "", "at least one admin address of a host");
    }
    flags.require_sound();
    return hosts;
}

int show_status(const std::vector<std::string>& arguments)
{
    program_settings flags = make_command_settings(status_usage);
    flags.declare_list("host", "admin address of a host");
    flags.parse(arguments);
    operator_session session;
    int exit_code = exit_ok;
    for (const std::string& host : read_hosts(flags)) {
        try {
            std::cout << host << " " << session.fetch(endpoint(host), "/status").body << "\n";
        } catch (const error& unreachable) {
            std::cout << host << " " << unreachable.what() << "\n";
            exit_code = exit_failed;
        }
    }
    return exit_code;
}

void print_decisions(const json& answer)
{
    std::cout << "request " << answer.at("request").get<std::string>() << " on host "
              << answer.at("host").get<std::string>() << "\n";
    for (const json& item : answer.at("decisions")) {
        std::cout << "  " << item.at("ms_ago").get<std::int64_t>() << " ms ago  "
                  << item.at("step").get<std::string>() << "  " << item.at("peer").get<std::string>() << "  "
                  << item.at("reason").get<std::string>() << "\n";
    }
}

int explain_request(const std::vector<std::string>& arguments)
{
    program_settings flags = make_command_settings(explain_usage);
    flags.declare_list("host", "admin address of a host");
    flags.parse(arguments);
    const std::string request = require_argument(flags, "a request's id, from its x-request-id header");
    operator_session session;
    bool is_found = false;
    for (const std::string& host : read_hosts(flags)) {
        try {
            const http_response answer =
                session.fetch(endpoint(host), "/explain?request=" + percent_encode(request));
            if (answer.status == http_status::ok) {
                print_decisions(parse_json(answer.body));
                is_found = true;
            }
        } catch (const error& unreachable) {
            std::cerr << host << " " << unreachable.what() << "\n";
        }
    }
    if (!is_found) {
        std::cerr << "no host that answered keeps a record of that request\n";
    }
    return is_found ? exit_ok : exit_failed;
}

} // namespace

std::vector<command> fleet_commands()
{
    return {
        {{"fleet", "status"}, status_usage, "tells what each host serves", &show_status},
        {{"explain"}, explain_usage, "tells each decision about a request, with its reason",
            &explain_request},
    };
}

} // namespace sailtiller
