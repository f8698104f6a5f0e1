// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <deque>
#include <unordered_map>
#include <vector>

namespace sailtiller {

/// One decision about a request: when, at which step, about which peer, and why.
struct decision
{
    time_point at;
    std::string step;
    std::string peer;
    std::string reason;
};

/// The decisions of the latest requests, for `sailtiller explain`. Bounded in requests and in decisions each.
class decision_log
{
public:
    explicit decision_log(std::size_t most_requests, std::size_t most_decisions = 64);

    void note(const request_id& request, decision item);
    /// Null if the request is unknown here or was forgotten.
    [[nodiscard]] const std::vector<decision>* find(const request_id& request) const;
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    std::size_t most_requests;
    std::size_t most_decisions;
    std::unordered_map<request_id, std::vector<decision>> entries;
    std::deque<request_id> order;
};

} // namespace sailtiller
