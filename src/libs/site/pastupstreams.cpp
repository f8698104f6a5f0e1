// SPDX-License-Identifier: Apache-2.0
#include <site/pastupstreams.h>

namespace sailtiller {

void past_upstreams::note_written(const upstream_id& id)
{
    this->ended.erase(id);
    this->leaving.erase(id);
}

void past_upstreams::begin_history(time_point now)
{
    this->history_begun = now;
    for (auto& [id, at] : this->ended) {
        at = now; // its old entry may stay from now on
    }
}

bool past_upstreams::has_ended(const upstream_id& id) const
{
    // In the history in which it ended, a list that names it was written later and says what holds.
    const auto found = this->ended.find(id);
    return found != this->ended.end() && found->second <= this->history_begun;
}

void past_upstreams::forget_old(time_point now)
{
    std::erase_if(this->ended, [now](const auto& item) { return now - item.second > memory; });
    if (now - this->history_begun > memory) {
        this->leaving.clear();
    }
}

} // namespace sailtiller
