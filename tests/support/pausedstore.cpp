// SPDX-License-Identifier: Apache-2.0
#include "pausedstore.h"

#include <algorithm>

namespace sailtiller::tests {

void paused_store::put(const keyed_record& record)
{
    this->records.push_back(record);
    this->written.push_back(this->now);
    this->apply(record);
    const std::vector<std::shared_ptr<read>> told = std::move(this->waiting);
    this->waiting.clear();
    for (const auto& item : told) {
        answer(item);
    }
}

void paused_store::apply(const keyed_record& record)
{
    if (record.value) {
        this->values[record.key] = *record.value;
    } else {
        this->values.erase(record.key);
    }
}

void paused_store::restore(duration age)
{
    while (!this->written.empty() && this->written.back() > this->now - age) {
        this->records.pop_back();
        this->written.pop_back();
    }
    this->first = std::min(this->first, this->records.size());
    this->era = store_era(this->era.value() + 1);
    this->values.clear();
    for (const keyed_record& record : this->records) {
        this->apply(record);
    }
    const std::vector<std::shared_ptr<read>> cut = std::move(this->waiting);
    this->waiting.clear();
    for (const auto& item : cut) {
        fail(item);
    }
}

std::shared_ptr<paused_store::read> paused_store::begin(const std::shared_ptr<store_access>& access,
    duration wait, std::function<void()> answer, failure_handler on_failure)
{
    ++this->calls;
    auto item = std::make_shared<read>();
    *item = {access, std::move(answer), std::move(on_failure)};
    if (*access == store_access::refuses) {
        this->after(round_trip, [item] { fail(item); });
        return nullptr;
    }
    // The answer of a store that falls silent meanwhile is lost.
    this->after(wait + answer_limit, [item] { fail(item); });
    this->after(wait + round_trip, [item] { paused_store::answer(item); });
    return item;
}

void paused_store::read_newest(const std::shared_ptr<store_access>& access,
    std::function<void(const newest_page&)> on_all, failure_handler on_failure)
{
    const auto give = [this, on_all = std::move(on_all)] {
        newest_page page;
        for (const auto& [key, value] : this->values) {
            page.records.push_back({key, value});
        }
        page.end = this->offset_of_end();
        on_all(page);
    };
    this->begin(access, duration::zero(), give, std::move(on_failure));
}

void paused_store::read_after(const std::shared_ptr<store_access>& access, log_offset from, duration wait,
    std::function<void(const record_page&)> on_page, failure_handler on_failure)
{
    const auto give = [this, from, on_page = std::move(on_page)] { on_page(this->make_page(from)); };
    const std::shared_ptr<read> item = this->begin(access, wait, give, std::move(on_failure));
    if (!item) {
        return;
    }
    if (from != this->offset_of_end()) {
        this->after(round_trip, [item] { answer(item); });
        return;
    }
    this->waiting.push_back(item);
}

record_page paused_store::make_page(log_offset from) const
{
    record_page page;
    const std::uint64_t number = number_of(from);
    page.is_forgotten = era_of(from) != this->era || number < this->first || number > this->end();
    if (page.is_forgotten) {
        return page;
    }
    page.records.assign(this->records.begin() + static_cast<std::ptrdiff_t>(number), this->records.end());
    page.next = this->offset_of_end();
    page.end = page.next;
    return page;
}

void paused_store::after(duration delay, std::function<void()> action)
{
    this->timers.schedule(this->now + delay, std::move(action));
}

void paused_store::answer(const std::shared_ptr<read>& item)
{
    if (item->is_done || *item->access != store_access::answers) {
        return;
    }
    item->is_done = true;
    item->answer();
}

void paused_store::fail(const std::shared_ptr<read>& item)
{
    if (!item->is_done) {
        item->is_done = true;
        item->on_failure(error({"read records", "store"}, "no answer"));
    }
}

} // namespace sailtiller::tests
