// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <routing/upstreamload.h>

#include <memory>
#include <unordered_map>

namespace sailtiller {

/// Loads of the upstreams that this host uses. They persist across changes of the bundle.
class load_table
{
public:
    explicit load_table(breaker_settings settings = {});

    /// Returns the load of an upstream, creating it on first use. Ownership is shared with the callers.
    std::shared_ptr<upstream_load> load_of(const upstream_id& name);
    /// Removes loads that are referenced only by this table, such as those of upstreams that left the bundle.
    void drop_unused();
    [[nodiscard]] std::size_t size() const { return this->loads.size(); }

private:
    breaker_settings settings;
    std::unordered_map<upstream_id, std::shared_ptr<upstream_load>> loads;
};

} // namespace sailtiller
