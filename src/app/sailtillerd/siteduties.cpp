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
/// After the start, until this host has heard who else is a candidate: it asks eight hosts each tenth of a
/// second.
constexpr duration first_join_pause = milliseconds(1000);
/// Number of the duty to give orders to the engines.
constexpr unsigned layer_duty = 0;

} // namespace

site_duties::site_duties(
    event_loop& loop, store_client& store, host_id self, std::function<bool()> is_candidate)
    : loop(loop)
    , store(store)
    , self(std::move(self))
    , is_candidate(std::move(is_candidate))
    , holding(join_silence_limit)
    , looks(loop, "join group of duties", join_interval, [this] { this->look(); })
{
}

void site_duties::start()
{
    this->looks.start_after(first_join_pause);
}

void site_duties::look()
{
    if (this->is_candidate()) {
        this->join();
    } else if (this->is_in_group) {
        this->leave_group();
    }
}

void site_duties::join()
{
    this->is_in_group = true;
    const time_point asked = this->loop.now();
    this->store.join(
        this->self, join_silence_limit, this->holding.generation(),
        [this, asked](const group_membership& next) {
            if (this->is_in_group) {
                this->holding.take(next, asked);
            }
        },
        &log_store_failure);
}

void site_duties::leave()
{
    this->is_leaving = true;
    this->looks.stop(); // joining once more would hold the duties until it is missed
    if (this->is_in_group) {
        this->leave_group();
    }
}

void site_duties::leave_group()
{
    this->is_in_group = false;
    this->holding.release();
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
