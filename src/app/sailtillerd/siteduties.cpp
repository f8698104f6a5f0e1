// SPDX-License-Identifier: Apache-2.0
#include "siteduties.h"

#include "storefailure.h"

#include <algorithm>

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
    const group_generation last = this->membership ? this->membership->generation : group_generation(0);
    this->store.join(
        this->self, join_silence_limit, last,
        [this](const group_membership& next) { this->membership = next; }, &log_store_failure);
    this->loop.schedule_after(join_interval, [this] { this->join(); });
}

void site_duties::leave()
{
    this->is_leaving = true;
    if (this->membership) {
        this->store.leave(this->self, this->membership->generation);
    }
}

std::optional<fencing_token> site_duties::order_token() const
{
    if (!this->membership || this->is_leaving) {
        return std::nullopt;
    }
    const std::vector<unsigned>& duties = this->membership->duties;
    const fencing_token token(this->membership->generation.value());
    const bool has_duty = std::find(duties.begin(), duties.end(), layer_duty) != duties.end();
    if (!has_duty || token <= this->refused_token) {
        return std::nullopt;
    }
    return token;
}

void site_duties::note_refused(fencing_token token)
{
    this->refused_token = std::max(this->refused_token, token);
}

} // namespace sailtiller
