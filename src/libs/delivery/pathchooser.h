// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/upstreamgate.h>

namespace sailtiller {

/// Finds paths for one stream's request, and tells whether there is room for it on a path.
class path_chooser
{
public:
    path_chooser(const delivery_context& context, const delivery_order& order)
        : context(context)
        , order(order)
        , gate(context, order)
    {
    }

    /// The profile of the service's engines; null if the bundle has no engines for it.
    [[nodiscard]] const engine_profile* profile() const;
    /// The cheapest path without the avoided upstreams, whose first engine wants one request more by what it
    /// told; with a present path, another one for the running request. There must be a profile, as for all
    /// that follows.
    [[nodiscard]] std::optional<layer_path> find(
        const std::set<upstream_id>& avoided, const layer_path& present = {}) const;
    /// If it is certain that no engine may begin the request for as long as it is held: after what time its
    /// caller should come back.
    [[nodiscard]] std::optional<duration> retry_after_if_closed(const std::set<upstream_id>& avoided) const;
    /// True if neither an engine of the path nor a pipe between its halls is too full for the request.
    [[nodiscard]] bool has_room(const layer_path& path) const;
    /// True if the part's engine has room and slots left, by what this host knows of the work there.
    [[nodiscard]] bool is_idle(const path_part& part) const;
    /// What the path leads one to expect of the stream over it.
    [[nodiscard]] stream_expectation expect(const layer_path& path) const;
    /// Tokens of the prompt and of the expected answer.
    [[nodiscard]] double expected_tokens() const;
    /// What the prompt moves through each pipe that the path crosses.
    [[nodiscard]] double crossing_bits() const;

private:
    [[nodiscard]] double expected_answer_tokens() const;
    [[nodiscard]] double pipe_share(const data_hall_id& from, const data_hall_id& to, time_point now) const;

    const delivery_context& context;
    const delivery_order& order;
    upstream_gate gate;
};

} // namespace sailtiller
