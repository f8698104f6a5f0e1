// SPDX-License-Identifier: Apache-2.0
#include <base/latest.h>
#include <site/retiredupstreams.h>

namespace sailtiller {

void retired_upstreams::record_entry_written(const upstream_id& id)
{
    this->ended.erase(id);
    this->leaving.erase(id);
}

bool retired_upstreams::record_leaving_notice(const upstream_id& id, time_point now)
{
    if (this->leaving_notices.size() >= max_leaving_notices) {
        return false;
    }
    return this->leaving_notices.try_emplace(id, leaving_notice{now, now}).second;
}

std::vector<upstream_id> retired_upstreams::latest_leaving_notices(std::size_t most) const
{
    std::vector<const std::pair<const upstream_id, leaving_notice>*> latest;
    latest.reserve(this->leaving_notices.size());
    for (const auto& item : this->leaving_notices) {
        latest.push_back(&item);
    }
    keep_latest(latest, most, [](const auto& item) { return item.second.heard; });
    std::vector<upstream_id> ids;
    ids.reserve(latest.size());
    for (const auto* item : latest) {
        ids.push_back(item->first);
    }
    return ids;
}

void retired_upstreams::begin_history(time_point now)
{
    this->history_begun = now;
    for (auto& [id, at] : this->ended) {
        at = now; // its old entry may be present from now on
    }
}

bool retired_upstreams::has_ended(const upstream_id& id) const
{
    // Within the same history, a list with this upstream was written later and is valid.
    const auto found = this->ended.find(id);
    return found != this->ended.end() && found->second <= this->history_begun;
}

void retired_upstreams::forget_old(const std::function<bool(const upstream_id&)>& is_listed, time_point now)
{
    for (auto& [id, word] : this->leaving_notices) {
        word.listed = is_listed(id) ? now : word.listed;
    }
    std::erase_if(
        this->leaving_notices, [now](const auto& item) { return now - item.second.listed > retention; });
    std::erase_if(this->ended, [now](const auto& item) { return now - item.second > retention; });
    if (now - this->history_begun > retention) {
        this->leaving.clear();
    }
}

} // namespace sailtiller
