// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <admission/requestadmission.h>
#include <delivery/upstreamgate.h>

namespace sailtiller {

/// Finds paths for one stream's request and checks their free capacity.
class path_chooser
{
public:
    path_chooser(const delivery_context& context, const delivery_order& order)
        : context(context)
        , order(order)
        , gate(context, order)
    {
    }

    /// Returns the profile of the service's engines; null if the bundle has no engines for it.
    [[nodiscard]] const engine_profile* profile() const;
    /// Returns the cheapest path without the avoided upstreams whose first engine admits one more request;
    /// with a present path, an alternative for the running request. This and all following functions require
    /// a profile.
    [[nodiscard]] std::optional<layer_path> find(
        const std::set<upstream_id>& avoided, const layer_path& present = {}) const;
    /// As `find` for a request that is to be sent. While request slots are scarce, its head is the one whose
    /// turn it is; nothing is found if no head has a slot left for this host. A request whose answer has
    /// begun gets a slot all the same, as its caller can't be asked to retry.
    [[nodiscard]] std::optional<layer_path> find_to_send(
        const std::set<upstream_id>& avoided, bool has_started);
    /// Returns true if the last `find_to_send` found no head with a slot left for this host.
    [[nodiscard]] bool is_short_of_slots() const { return this->has_no_slot; }
    /// Returns the retry-after time if no engine can start the request for as long as it is held; empty
    /// otherwise.
    [[nodiscard]] std::optional<duration> retry_after_if_closed(const std::set<upstream_id>& avoided) const;
    /// Returns true if every engine of the path and every pipe between its halls has free capacity for the
    /// request.
    [[nodiscard]] bool has_room(const layer_path& path) const;
    /// Returns true if the stage's engine has free capacity and slots, as far as this host knows.
    [[nodiscard]] bool is_idle(const path_stage& part) const;
    /// Returns the expected timing of the stream over the path.
    [[nodiscard]] stream_expectation expect(const layer_path& path) const;
    /// Returns the number of tokens of the prompt and the expected answer.
    [[nodiscard]] double expected_tokens() const;
    /// Returns the number of bits that the prompt moves through each pipe on the path.
    [[nodiscard]] double crossing_bits() const;
    /// Starts the admission of the request; empty if admission doesn't decide for its service.
    [[nodiscard]] std::unique_ptr<request_admission> start_admission();

private:
    [[nodiscard]] std::optional<layer_path> find_led_by(const std::set<upstream_id>& avoided,
        const layer_path& present, const std::optional<upstream_id>& head) const;
    [[nodiscard]] double expected_answer_tokens() const;
    [[nodiscard]] double pipe_share(const data_hall_id& from, const data_hall_id& to, time_point now) const;

    const delivery_context& context;
    const delivery_order& order;
    upstream_gate gate;
    bool has_no_slot = false;
};

} // namespace sailtiller
