// SPDX-License-Identifier: Apache-2.0
#include <fleet/passhistory.h>

namespace sailtiller {

void pass_history::note(const suspect_id& part, time_point now)
{
    if (now - this->current_since > generation_time) {
        this->previous = std::move(this->current);
        this->current.clear();
        this->current_since = now;
    }
    const auto found = this->current.find(part);
    if (found != this->current.end()) {
        found->second = now;
    } else if (this->current.size() < max_parts) {
        this->current.emplace(part, now);
    }
}

std::optional<time_point> pass_history::last_pass(const suspect_id& part) const
{
    for (const auto* generation : {&this->current, &this->previous}) {
        const auto found = generation->find(part);
        if (found != generation->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace sailtiller
