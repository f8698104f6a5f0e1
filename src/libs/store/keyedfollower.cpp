// SPDX-License-Identifier: Apache-2.0
#include <store/keyedfollower.h>

#include <algorithm>

namespace sailtiller {

keyed_follower::keyed_follower(keyed_follower_settings settings, keyed_follower_hooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
{
}

void keyed_follower::start()
{
    this->turn();
}

void keyed_follower::turn()
{
    if (!this->hooks.is_due()) {
        this->schedule(this->settings.pause);
        return;
    }
    if (this->next) {
        this->read_changes();
    } else {
        this->read_all();
    }
}

void keyed_follower::skip_to(log_offset end)
{
    this->next = std::max(end, this->next.value_or(end));
}

void keyed_follower::schedule(duration delay)
{
    this->hooks.timers.schedule_after(delay, [this] { this->turn(); });
}

void keyed_follower::read_all()
{
    const time_point asked = this->hooks.timers.now();
    this->hooks.read_newest(
        this->settings.topic,
        [this, asked](const newest_page& page) {
            this->failures = 0;
            this->hooks.on_all(page.records, page.end);
            this->skip_to(page.end); // after the list has been taken: else its changes alone would follow
            this->hooks.on_confirmed(asked);
            this->schedule(this->settings.pause);
        },
        [this](const error& failure) { this->fail(failure); });
}

void keyed_follower::read_changes()
{
    const time_point asked = this->hooks.timers.now();
    const log_offset from = *this->next;
    this->hooks.read_after(
        this->settings.topic, from, this->settings.wait,
        [this, from, asked](const record_page& page) { this->take_page(page, from, asked); },
        [this](const error& failure) { this->fail(failure); });
}

void keyed_follower::take_page(const record_page& page, log_offset from, time_point asked)
{
    this->failures = 0;
    if (page.is_forgotten) {
        this->next.reset();
        this->read_all();
        return;
    }
    std::uint64_t offset = from.value();
    for (const keyed_record& record : page.records) {
        this->hooks.on_record(record, log_offset(offset));
        ++offset;
    }
    this->skip_to(page.next);
    if (page.next >= page.end) {
        this->hooks.on_confirmed(asked);
        this->schedule(this->settings.pause);
        return;
    }
    if (page.records.empty()) {
        this->schedule(this->settings.pause); // the store will have them before long
        return;
    }
    this->read_changes();
}

void keyed_follower::fail(const error& failure)
{
    constexpr unsigned most_doublings = 10;
    const duration longest = std::max(this->settings.longest_retry,
        this->hooks.longest_retry ? this->hooks.longest_retry() : duration::zero());
    const duration delay =
        std::min(longest, this->settings.least_retry * (1 << std::min(this->failures, most_doublings)));
    ++this->failures;
    this->hooks.on_failure(failure);
    this->schedule(delay);
}

} // namespace sailtiller
