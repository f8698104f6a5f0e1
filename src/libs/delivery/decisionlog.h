// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <deque>
#include <unordered_map>
#include <vector>

namespace sailtiller {

/// Decision about a request: time, step, peer and reason.
struct decision
{
    time_point at;
    std::string step;
    std::string peer;
    std::string reason;
};

/// Decisions about the most recent requests, for `sailtiller explain`. Limits the number of requests and the
/// number of decisions per request.
class decision_log
{
public:
    explicit decision_log(std::size_t most_requests, std::size_t max_decisions = 64);

    void note(const request_id& request, decision item);
    /// Returns null if the request is unknown or has been evicted.
    [[nodiscard]] const std::vector<decision>* find(const request_id& request) const;
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    std::size_t most_requests;
    std::size_t max_decisions;
    std::unordered_map<request_id, std::vector<decision>> entries;
    std::deque<request_id> order;
};

} // namespace sailtiller
