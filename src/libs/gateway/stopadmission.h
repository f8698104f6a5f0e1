// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>
#include <gateway/routedurations.h>

#include <optional>
#include <string>

namespace sailtiller {

/// The moments of a planned stop.
struct stop_times
{
    time_point begun{};
    time_point grace_end{}; ///< from then on nothing new is taken
    time_point limit{}; ///< what still runs then is cut off
};

/// What is kept of a request from when it is taken until it has its answer.
struct taken_request
{
    explicit taken_request(const delivery_order& order);

    request_id id;
    std::string route;
    time_point arrived;
    bool is_rest; ///< goes on with a stream after an event
};

/// Which requests a host still takes once it has been told to stop: those that can be expected to end before
/// the stop's limit. The rest are better off at another host at once than cut off here.
class stop_admission
{
public:
    void begin(const stop_times& next) { this->times = next; }
    /// True once the stop's grace is over.
    [[nodiscard]] bool takes_nothing(time_point now) const;
    /// Why the stop speaks against this request; nothing if it may be taken.
    [[nodiscard]] std::optional<std::string> find_objection(
        const delivery_order& order, time_point now) const;
    /// A request ended well.
    void note_ended(const taken_request& request, time_point now);
    /// For the log: how long a request ran that the stop cuts off now, and when it was taken.
    [[nodiscard]] std::string describe_cut(const taken_request& request, time_point now) const;
    /// Forgets what was learned of routes that this bundle doesn't have.
    void take_bundle(const site_bundle& bundle);

private:
    std::optional<stop_times> times; ///< once a stop has begun
    route_durations durations;
};

} // namespace sailtiller
