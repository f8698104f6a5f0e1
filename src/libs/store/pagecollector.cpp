// SPDX-License-Identifier: Apache-2.0
#include <store/historyoffset.h>
#include <store/pagecollector.h>

namespace sailtiller {

std::optional<std::string> page_collector::add(const newest_page& page)
{
    const bool is_first = this->page_ends.empty();
    if (!is_first && era_of(page.end) != era_of(this->gathered.end)) {
        return "the store began a new history between two pages";
    }
    // The order of keys is the store's own, so only a key that comes again shows that the pages repeat.
    if (page.continue_after && !this->page_ends.insert(*page.continue_after).second) {
        return "the pages repeat";
    }
    for (const keyed_record& record : page.records) {
        this->bytes += record.key.size() + (record.value ? record.value->size() : 0);
    }
    if (this->bytes > this->max_bytes) {
        return "the records exceed " + std::to_string(this->max_bytes) + " bytes";
    }
    this->gathered.records.insert(this->gathered.records.end(), page.records.begin(), page.records.end());
    // Pages are no snapshot: what changed since the first page follows from the first page's end.
    this->gathered.end = is_first ? page.end : this->gathered.end;
    this->gathered.continue_after = page.continue_after;
    return std::nullopt;
}

} // namespace sailtiller
