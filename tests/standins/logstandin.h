// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>
#include <runtime/httpserver.h>

#include <deque>
#include <map>

namespace sailtiller::standins {

/// An append-only log with offsets, limited retention and faults that tests switch on.
class log_standin
{
public:
    explicit log_standin(event_loop& loop);

    void handle(const std::shared_ptr<http_exchange>& exchange);
    /// Everything fails until this is set back.
    void set_down(bool is_down) { this->down = is_down; }
    /// The next appends take effect and their answers are lost.
    void lose_answers(std::uint32_t count) { this->answers_to_lose = count; }
    /// Forgets the oldest records of every stream, so that `kept` stay.
    void expire(std::size_t kept);
    [[nodiscard]] std::uint64_t appends() const { return this->append_count; }

private:
    struct stream
    {
        std::uint64_t first = 0;
        std::deque<std::string> records;
    };

    struct waiting_read
    {
        std::shared_ptr<http_exchange> exchange;
        std::string stream;
        std::uint64_t from = 0;
        timer_id timer = 0;
    };

    void append(const std::shared_ptr<http_exchange>& exchange, const std::string& name);
    void read(const std::shared_ptr<http_exchange>& exchange, const std::string& name);
    void answer_read(
        const std::shared_ptr<http_exchange>& exchange, const stream& source, std::uint64_t from);
    void wake_readers(const std::string& name);
    void control(const std::shared_ptr<http_exchange>& exchange);

    event_loop& loop;
    std::map<std::string, stream> streams;
    std::map<std::uint64_t, waiting_read> waiting;
    std::uint64_t last_waiting = 0;
    bool down = false;
    std::uint32_t answers_to_lose = 0;
    std::uint64_t append_count = 0;
};

} // namespace sailtiller::standins
