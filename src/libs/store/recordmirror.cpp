// SPDX-License-Identifier: Apache-2.0
#include <store/recordmirror.h>

#include <algorithm>

namespace sailtiller {

void record_mirror::note(const keyed_record& record, log_offset offset)
{
    const auto known = this->entries.find(record.key);
    const bool is_next = this->known_end && offset == *this->known_end;
    if (is_next && known != this->entries.end() && known->second.value == record.value) {
        return;
    }
    this->set_entry(record.key, record.value, offset);
    if (!record.value) {
        this->forget_removals();
    }
}

void record_mirror::set_entry(
    const std::string& key, const std::optional<std::string>& value, log_offset changed)
{
    const auto [place, is_new] = this->entries.try_emplace(key);
    entry& item = place->second;
    if (!is_new) {
        this->changes.erase({item.changed, key});
        this->removals -= item.value ? 0 : 1;
    }
    item = {value, changed};
    this->changes.emplace(changed, key);
    this->removals += value ? 0 : 1;
}

void record_mirror::forget_removals()
{
    if (this->removals <= most_removals) {
        return;
    }
    std::erase_if(this->entries, [this](const auto& item) {
        if (item.second.value) {
            return false;
        }
        const log_offset after(item.second.changed.value() + 1);
        this->complete_from = std::max(this->complete_from, after);
        this->changes.erase({item.second.changed, item.first});
        return true;
    });
    this->removals = 0;
}

void record_mirror::replace(const std::vector<keyed_record>& records, log_offset end)
{
    // The changes lie somewhere before the end.
    const log_offset last(end.value() == 0 ? 0 : end.value() - 1);
    this->entries.clear();
    this->changes.clear();
    this->removals = 0;
    for (const keyed_record& record : records) {
        this->set_entry(record.key, record.value, last);
    }
    this->complete_from = std::max(this->complete_from, end);
    this->advance(end);
}

void record_mirror::advance(log_offset end)
{
    this->known_end = std::max(end, this->known_end.value_or(end));
}

std::optional<std::string> record_mirror::find(const std::string& key) const
{
    const auto known = this->entries.find(key);
    return known == this->entries.end() ? std::nullopt : known->second.value;
}

bool record_mirror::has_more_changes(log_offset since, std::size_t number) const
{
    auto change = this->changes.lower_bound({since, std::string()});
    for (; change != this->changes.end() && number > 0; ++change) {
        --number;
    }
    return change != this->changes.end();
}

record_mirror::difference record_mirror::since(const std::optional<log_offset>& offset) const
{
    difference result;
    result.is_whole = this->lacks_everything(offset);
    if (result.is_whole) {
        for (const auto& [key, item] : this->entries) {
            if (item.value) {
                result.records.push_back({key, item.value});
            }
        }
        return result;
    }
    const auto first = this->changes.lower_bound({*offset, std::string()});
    for (auto change = first; change != this->changes.end(); ++change) {
        result.records.push_back({change->second, this->entries.at(change->second).value});
    }
    std::sort(result.records.begin(), result.records.end(),
        [](const keyed_record& left, const keyed_record& right) { return left.key < right.key; });
    return result;
}

} // namespace sailtiller
