// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/error.h>
#include <base/timerqueue.h>
#include <store/historyoffset.h>
#include <store/storetypes.h>

#include <map>
#include <memory>
#include <vector>

namespace sailtiller::tests {

/// How the store treats a host.
enum class store_access {
    answers, ///< as it should
    refuses, ///< with a failure at once
    silent ///< never
};

/// One topic of a store, under a paused clock. Reads wait for the next record, as the platform's store lets
/// them.
class paused_store
{
public:
    using failure_handler = std::function<void(const error&)>;

    /// How long a host waits for an answer beyond what the store may wait itself.
    static constexpr duration answer_limit = std::chrono::seconds(1);
    /// From host to host, or to the store, and back.
    static constexpr duration round_trip = std::chrono::milliseconds(2);

    paused_store(timer_queue& timers, const time_point& now)
        : timers(timers)
        , now(now)
    {
    }

    /// Writes a record; one without a value drops its key.
    void put(const keyed_record& record);
    /// Comes back from a copy that is so old: later records are gone, and their offsets are given out again.
    /// Reads that wait are cut off.
    void restore(duration age);
    /// Forgets all records but the newest of each key.
    void compact() { this->first = this->records.size(); }

    void read_newest(const std::shared_ptr<store_access>& access,
        std::function<void(const newest_page&)> on_all, failure_handler on_failure);
    void read_after(const std::shared_ptr<store_access>& access, log_offset from, duration wait,
        std::function<void(const record_page&)> on_page, failure_handler on_failure);

    /// The newest value of each key.
    [[nodiscard]] const std::map<std::string, std::string>& newest() const { return this->values; }
    [[nodiscard]] std::size_t calls_made() const { return this->calls; }

private:
    struct read
    {
        std::shared_ptr<store_access> access;
        std::function<void()> answer;
        failure_handler on_failure;
        bool is_done = false;
    };

    void apply(const keyed_record& record);
    [[nodiscard]] log_offset offset_of_end() const { return make_offset(this->era, this->end()); }
    [[nodiscard]] std::size_t end() const { return this->records.size(); }
    /// Begins a read that the store may keep waiting; whether it is told of the next record is up to the
    /// caller. Nothing if the host is refused.
    std::shared_ptr<read> begin(const std::shared_ptr<store_access>& access, duration wait,
        std::function<void()> answer, failure_handler on_failure);
    void after(duration delay, std::function<void()> action);
    static void answer(const std::shared_ptr<read>& item);
    static void fail(const std::shared_ptr<read>& item);
    [[nodiscard]] record_page make_page(log_offset from) const;

    timer_queue& timers;
    const time_point& now;
    std::vector<keyed_record> records;
    std::vector<time_point> written; ///< of each record
    std::map<std::string, std::string> values;
    std::vector<std::shared_ptr<read>> waiting;
    store_era era{1};
    std::size_t first = 0; ///< offset of the first record that is kept
    std::size_t calls = 0;
};

} // namespace sailtiller::tests
