// SPDX-License-Identifier: Apache-2.0
#include "siteduties.h"

#include "storefailure.h"

namespace sailtiller {

namespace {

using std::chrono::milliseconds;

/// A third of the silence that ends a membership, so that two calls may fail.
constexpr duration join_interval = milliseconds(600);
/// Silence after which another host takes the duties over.
constexpr duration join_silence_limit = milliseconds(1800);
/// Number of the duty to give orders to the engines.
constexpr unsigned layer_duty = 0;

} // namespace

site_duties::site_duties(event_loop& loop, store_client& store, host_id self)
    : loop(loop)
    , store(store)
    , self(std::move(self))
    , holding(join_silence_limit)
{
}

void site_duties::start()
{
    this->join();
}

void site_duties::join()
{
    if (this->is_leaving) {
        return; // joining once more would hold the duties until it is missed
    }
    const time_point asked = this->loop.now();
    this->store.join(
        this->self, join_silence_limit, this->holding.generation(),
        [this, asked](const group_membership& next) { this->holding.take(next, asked); }, &log_store_failure);
    this->loop.schedule_after(join_interval, [this] { this->join(); });
}

void site_duties::leave()
{
    this->is_leaving = true;
    if (this->holding.generation() != group_generation(0)) {
        this->store.leave(this->self, this->holding.generation());
    }
}

std::optional<fencing_token> site_duties::order_token() const
{
    const std::optional<group_generation> held = this->holding.find(layer_duty, this->loop.now());
    if (!held || this->is_leaving) {
        return std::nullopt;
    }
    const fencing_token token(held->value());
    return token > this->refused_token ? std::optional(token) : std::nullopt;
}

void site_duties::note_refused(fencing_token token)
{
    this->refused_token = std::max(this->refused_token, token);
}

} // namespace sailtiller
