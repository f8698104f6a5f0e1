// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>
#include <base/ids.h>

#include <functional>
#include <map>
#include <optional>

namespace sailtiller {

/// What other hosts tell of dead upstreams. One host's word may only mean that this host reaches nobody, so
/// two are needed where there are as many.
class reported_deaths
{
public:
    /// A host told that an upstream is dead to it, until a moment unless it tells so again. Returns until
    /// when that is believed; nothing if too few hosts say it.
    std::optional<time_point> note(
        const upstream_id& id, const host_id& reporter, time_point until, time_point now);
    /// The upstream gave a sign of life, so all words before it are void.
    void clear(const upstream_id& id) { this->words.erase(id); }
    /// Hosts that live, this one included.
    void set_live_hosts(std::size_t count) { this->live_hosts = count; }
    void forget(const std::function<bool(const upstream_id&)>& is_known);

private:
    [[nodiscard]] std::size_t reports_needed() const;

    std::map<upstream_id, std::map<host_id, time_point>> words; ///< until when each host's word holds
    std::size_t live_hosts = 1;
};

} // namespace sailtiller
