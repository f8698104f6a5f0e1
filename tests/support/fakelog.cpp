// SPDX-License-Identifier: Apache-2.0
#include <support/fakelog.h>

#include <algorithm>

namespace sailtiller::tests {

fake_log::fake_log(timer_queue& timers, clock_function now)
    : timers(timers)
    , now(std::move(now))
{
}

log_offset fake_log::append(const std::string& data)
{
    this->records.push_back(data);
    ++this->append_count;
    return log_offset(this->first + this->records.size() - 1);
}

void fake_log::expire(std::size_t kept)
{
    while (this->records.size() > kept) {
        this->records.pop_front();
        ++this->first;
    }
}

void fake_log::answer(std::function<void()> action)
{
    this->timers.schedule(this->now() + this->latency, std::move(action));
}

log_hooks fake_log::hooks()
{
    log_hooks hooks;
    hooks.append = [this](const std::string& data, std::function<void(log_offset)> on_done,
                       std::function<void(const error&)> on_failure) {
        const error failure({"append to log", "fake"}, "down");
        if (this->is_down) {
            this->answer([on_failure, failure] { on_failure(failure); });
            return;
        }
        const log_offset offset = this->append(data);
        if (this->loses_append_answers) {
            this->answer([on_failure, failure] { on_failure(failure); });
            return;
        }
        this->answer([on_done, offset] { on_done(offset); });
    };
    hooks.read = [this](log_offset from, duration wait, std::function<void(log_page)> on_page,
                     std::function<void(const error&)> on_failure) {
        if (this->is_down) {
            this->answer([on_failure] { on_failure(error({"read log", "fake"}, "down")); });
            return;
        }
        this->lowest_read = std::min(this->lowest_read, from);
        log_page page;
        page.first_retained = log_offset(this->first);
        std::uint64_t offset = std::max(from.value(), this->first);
        for (; offset < this->first + this->records.size(); ++offset) {
            page.entries.push_back({log_offset(offset), this->records[offset - this->first]});
        }
        page.next = log_offset(offset);
        const duration delay = page.entries.empty() ? wait : duration::zero();
        this->timers.schedule(
            this->now() + this->latency + std::min<duration>(delay, std::chrono::milliseconds(100)),
            [on_page, page] { on_page(page); });
    };
    return hooks;
}

} // namespace sailtiller::tests
