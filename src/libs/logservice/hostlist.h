// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/error.h>
#include <base/timerqueue.h>
#include <runtime/httpclient.h>

#include <map>

namespace sailtiller {

enum class listed_state { live, leaving };

/// One entry host or upstream in the platform's list.
struct listed_host
{
    std::string name;
    endpoint peer_address; ///< for other hosts; empty for an upstream
    data_hall_id data_hall;
    bool is_upstream = false;
    listed_state state = listed_state::live;
};

/// The platform's list of live and leaving hosts, read again and again. It lags, and keeps its last content
/// while it can't be read.
class host_list
{
public:
    /// `on_change` runs after every reading that changed the list.
    host_list(event_loop& loop, http_client& client, endpoint address, duration interval,
        std::function<void()> on_change, std::function<void(const error&)> on_failure);

    void start();
    [[nodiscard]] const std::vector<listed_host>& entries() const { return this->listed; }
    /// Entry hosts that are live, in the order of the list.
    [[nodiscard]] const std::vector<listed_host>& live_hosts() const { return this->live; }
    [[nodiscard]] bool is_read() const { return this->has_been_read; }

private:
    void read();
    void take(const http_response& answer);

    event_loop& loop;
    http_client& client;
    endpoint address;
    duration interval;
    std::function<void()> on_change;
    std::function<void(const error&)> on_failure;
    std::vector<listed_host> listed;
    std::vector<listed_host> live; ///< the entry hosts among them that are live
    std::string last_body;
    std::string version; ///< the list's entity tag, so that an unchanged list of hundreds of kilobytes isn't
                         ///< sent again
    bool has_been_read = false;
};

} // namespace sailtiller
