// SPDX-License-Identifier: Apache-2.0
#include <delivery/decisionlog.h>

namespace sailtiller {

decision_log::decision_log(std::size_t most_requests, std::size_t max_decisions)
    : most_requests(most_requests)
    , max_decisions(max_decisions)
{
}

void decision_log::note(const request_id& request, decision item)
{
    const auto [entry, is_new] = this->entries.try_emplace(request);
    if (is_new) {
        this->order.push_back(request);
    }
    if (entry->second.size() < this->max_decisions) {
        entry->second.push_back(std::move(item));
    }
    if (this->order.size() > this->most_requests) {
        this->entries.erase(this->order.front());
        this->order.pop_front();
    }
}

const std::vector<decision>* decision_log::find(const request_id& request) const
{
    const auto found = this->entries.find(request);
    return found == this->entries.end() ? nullptr : &found->second;
}

} // namespace sailtiller
