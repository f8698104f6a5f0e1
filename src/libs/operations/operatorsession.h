// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/logservice.h>
#include <bundle/activationfold.h>
#include <runtime/httpclient.h>

#include <set>

namespace sailtiller {

/// What the log holds, read from its first retained record to its end.
struct log_history
{
    activation_fold fold;
    std::vector<accepted_activation> accepted; ///< in the order of their generations, those still retained
    std::set<part_digest> parts; ///< parts that the log holds
    std::map<part_digest, std::string> manifests; ///< every part by digest, for reading manifests
};

/// An operator's program at work: every call waits for its answer.
class operator_session
{
public:
    operator_session();

    /// Chooses the log. Without this only `fetch` works.
    void use_log(const endpoint& address, const std::string& stream);
    /// Reads the whole log. Throws `error` if it can't be read.
    log_history read_history(const trust_settings& trust);
    /// Appends a record. Empty if no answer came, so that it may or may not have been appended.
    std::optional<log_offset> append(const std::string& data);
    /// Gets a page of a host's admin address. Throws `error` if there is no answer.
    http_response fetch(const endpoint& host, const std::string& path);
    void pause(duration time);

private:
    log_page read_page(log_offset from);
    void run_until(const bool& is_done);

    event_loop loop;
    http_client client;
    log_hooks log;
    std::string log_name;
};

} // namespace sailtiller
