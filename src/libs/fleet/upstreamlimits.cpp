// SPDX-License-Identifier: Apache-2.0
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
    // An age beyond all that is remembered would only overflow.
    const time_point stated = now - std::min(statement.age, this->settings.ended_memory);
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

std::vector<limit_statement> upstream_limits::list_news(time_point now) const
{
    std::vector<std::pair<time_point, limit_statement>> latest;
    latest.reserve(this->records.size());
    for (const auto& [id, item] : this->records) {
        latest.push_back({item.changed, {id, item.requests_per_second, now - item.stated}});
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(latest.size(), this->settings.most_told));
    std::partial_sort(latest.begin(), latest.begin() + count, latest.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<limit_statement> news;
    news.reserve(static_cast<std::size_t>(count));
    for (auto item = latest.begin(); item != latest.begin() + count; ++item) {
        news.push_back(std::move(item->second));
    }
    return news;
}

void upstream_limits::forget(const std::function<bool(const upstream_id&)>& is_known, time_point now)
{
    for (auto item = this->records.begin(); item != this->records.end();) {
        const record& known = item->second;
        const bool is_over = !known.requests_per_second && now - known.stated > this->settings.ended_memory;
        if (!is_over && is_known(item->first)) {
            ++item;
            continue;
        }
        this->limited -= known.requests_per_second ? 1 : 0;
        item = this->records.erase(item);
    }
}

} // namespace sailtiller
