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
    this->entries[record.key] = {record.value, offset};
    if (!record.value) {
        this->forget_removals();
    }
}

void record_mirror::forget_removals()
{
    std::size_t removals = 0;
    for (const auto& [key, item] : this->entries) {
        removals += item.value ? 0 : 1;
    }
    if (removals <= most_removals) {
        return;
    }
    std::erase_if(this->entries, [this](const auto& item) {
        if (!item.second.value) {
            const log_offset after(item.second.changed.value() + 1);
            this->complete_from = std::max(this->complete_from, after);
        }
        return !item.second.value.has_value();
    });
}

void record_mirror::replace(const std::vector<keyed_record>& records, log_offset end)
{
    // The changes lie somewhere before the end.
    const log_offset last(end.value() == 0 ? 0 : end.value() - 1);
    this->entries.clear();
    for (const keyed_record& record : records) {
        this->entries[record.key] = {record.value, last};
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

record_mirror::difference record_mirror::since(const std::optional<log_offset>& offset) const
{
    difference result;
    result.is_whole = !offset || *offset < this->complete_from;
    for (const auto& [key, item] : this->entries) {
        const bool is_new = result.is_whole ? item.value.has_value() : item.changed >= *offset;
        if (is_new) {
            result.records.push_back({key, item.value});
        }
    }
    return result;
}

} // namespace sailtiller
