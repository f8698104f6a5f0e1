// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/loadsummary.h>
#include <base/timerqueue.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace sailtiller {

/// Place of a held request among others: by class, then by the time left, then by work.
struct hold_order
{
    request_class kind;
    time_point deadline{};
    double work = 0; ///< in tokens

    auto operator<=>(const hold_order&) const = default;
};

/// Requests that wait at this host for room. Free room goes to the first of the order, in place of each
/// request looking for it by itself.
class hold_queue
{
public:
    using ticket = std::uint64_t;

    /// Maximum number of held requests; a host of a large fleet holds a few, and each costs a path search
    /// when its turn comes.
    static constexpr std::size_t max_held = 64;
    /// Requests that are tried in one turn; a request that finds no room may be bound by other upstreams than
    /// the next one.
    static constexpr std::size_t tries_per_turn = 3;

    /// `turn`: time between two turns while requests are held.
    hold_queue(timer_hooks timers, duration turn);
    ~hold_queue();
    hold_queue(const hold_queue&) = delete;
    hold_queue& operator=(const hold_queue&) = delete;

    /// Holds a request. `try_again` is called in its turn until the request is removed. Returns nothing if
    /// the queue is full of requests that go before this one; otherwise the last one leaves a full queue, by
    /// a call of its `leave`.
    std::optional<ticket> hold(
        const hold_order& order, std::function<void()> try_again, std::function<void()> leave);
    /// Removes a request; an unknown one is ignored.
    void remove(ticket item);
    [[nodiscard]] std::size_t size() const { return this->held.size(); }

private:
    using hold_key = std::pair<hold_order, ticket>;
    struct held_request
    {
        std::function<void()> try_again;
        std::function<void()> leave;
    };

    void schedule_turn();
    void run_turn();

    timer_hooks timers;
    duration turn;
    std::map<hold_key, held_request> held;
    std::map<ticket, hold_order> orders;
    ticket last_ticket = 0;
    timer_id timer = 0;
};

} // namespace sailtiller
