// SPDX-License-Identifier: Apache-2.0
#include <base/latest.h>
#include <fleet/upstreamlimits.h>

#include <algorithm>

namespace sailtiller {

std::optional<double> upstream_limits::limit_of(const upstream_id& id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? std::nullopt : found->second.requests_per_second;
}

limit_statement upstream_limits::statement_of(const upstream_id& id, time_point now) const
{
    const auto found = this->records.find(id);
    if (found == this->records.end()) {
        return {id, std::nullopt, duration::max()};
    }
    return {id, found->second.requests_per_second, now - found->second.stated};
}

void upstream_limits::take(const limit_statement& statement, time_point now)
{
    const auto found = this->records.find(statement.upstream);
    const bool is_new = found == this->records.end();
    if (is_new && (!statement.requests_per_second || this->records.size() >= this->settings.most_records)) {
        return;
    }
    // Clamps ages beyond the retention, which would overflow.
    const time_point stated = now - std::min(statement.age, this->settings.ended_retention);
    record& item = is_new ? this->records[statement.upstream] : found->second;
    if (!is_new && stated < item.stated) {
        return;
    }
    item.stated = stated;
    if (item.requests_per_second == statement.requests_per_second) {
        return;
    }
    this->limited -= item.requests_per_second ? 1 : 0;
    this->limited += statement.requests_per_second ? 1 : 0;
    item.requests_per_second = statement.requests_per_second;
    item.changed = now;
    if (this->on_change) {
        this->on_change(statement);
    }
}

std::vector<limit_statement> upstream_limits::list_updates(time_point now) const
{
    std::vector<const std::pair<const upstream_id, record>*> latest;
    latest.reserve(this->records.size());
    for (const auto& item : this->records) {
        latest.push_back(&item);
    }
    keep_latest(latest, this->settings.max_per_report, [](const auto& item) { return item.second.changed; });
    std::vector<limit_statement> news;
    news.reserve(latest.size());
    for (const auto* item : latest) {
        news.push_back({item->first, item->second.requests_per_second, now - item->second.stated});
    }
    return news;
}

void upstream_limits::forget(const std::function<bool(const upstream_id&)>& is_known, time_point now)
{
    for (auto item = this->records.begin(); item != this->records.end();) {
        const record& known = item->second;
        const bool is_over =
            !known.requests_per_second && now - known.stated > this->settings.ended_retention;
        if (!is_over && is_known(item->first)) {
            ++item;
            continue;
        }
        this->limited -= known.requests_per_second ? 1 : 0;
        item = this->records.erase(item);
    }
}

} // namespace sailtiller
