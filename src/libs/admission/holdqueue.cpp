// SPDX-License-Identifier: Apache-2.0
#include <admission/holdqueue.h>

#include <vector>

namespace sailtiller {

hold_queue::hold_queue(timer_hooks timers, duration turn)
    : timers(std::move(timers))
    , turn(turn)
{
}

hold_queue::~hold_queue()
{
    if (this->timer != 0) {
        this->timers.cancel(this->timer);
    }
    // The requests that end with their entries find none left.
    this->orders.clear();
    const std::map<hold_key, held_request> last = std::move(this->held);
}

std::optional<hold_queue::ticket> hold_queue::hold(
    const hold_order& order, std::function<void()> try_again, std::function<void()> leave)
{
    std::function<void()> leave_last;
    if (this->held.size() >= max_held) {
        const auto last = std::prev(this->held.end());
        if (last->first.first <= order) {
            return std::nullopt;
        }
        leave_last = std::move(last->second.leave);
        this->remove(last->first.second);
    }
    const ticket item = ++this->last_ticket;
    this->held.emplace(hold_key(order, item), held_request{std::move(try_again), std::move(leave)});
    this->orders.emplace(item, order);
    this->schedule_turn();
    if (leave_last) {
        leave_last();
    }
    return item;
}

void hold_queue::remove(ticket item)
{
    const auto found = this->orders.find(item);
    if (found != this->orders.end()) {
        this->held.erase({found->second, item});
        this->orders.erase(found);
    }
}

void hold_queue::schedule_turn()
{
    if (this->timer == 0) {
        this->timer = this->timers.schedule_after(this->turn, [this] { this->run_turn(); });
    }
}

void hold_queue::run_turn()
{
    this->timer = 0;
    std::vector<ticket> first;
    for (const auto& [key, request] : this->held) {
        if (first.size() == tries_per_turn) {
            break;
        }
        first.push_back(key.second);
    }
    for (const ticket item : first) {
        const auto found = this->orders.find(item);
        if (found == this->orders.end()) {
            continue;
        }
        const std::function<void()> try_again = this->held.at({found->second, item}).try_again;
        try_again();
    }
    if (!this->held.empty()) {
        this->schedule_turn();
    }
}

} // namespace sailtiller
