// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <routing/upstreamload.h>

#include <memory>
#include <unordered_map>

namespace sailtiller {

/// The loads of all upstreams that this host has used or may use, kept over changes of the bundle.
class load_table
{
public:
    explicit load_table(breaker_settings settings = {});

    /// The load of an upstream, made on first use. It lives as long as somebody holds it.
    std::shared_ptr<upstream_load> load_of(const upstream_id& name);
    /// Forgets loads that nobody holds any more, as of upstreams that left the bundle.
    void drop_unused();
    [[nodiscard]] std::size_t size() const { return this->loads.size(); }

private:
    breaker_settings settings;
    std::unordered_map<upstream_id, std::shared_ptr<upstream_load>> loads;
};

} // namespace sailtiller
