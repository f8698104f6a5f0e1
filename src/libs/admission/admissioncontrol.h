// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <admission/admissioncounters.h>
#include <admission/capacityestimate.h>
#include <admission/classshares.h>
#include <admission/holdqueue.h>
#include <admission/loadmeter.h>
#include <admission/pathforecast.h>
#include <base/random.h>

namespace sailtiller {

/// What admission needs to know about a request.
struct admission_request
{
    service_id service;
    request_class kind;
    duration objective{}; ///< to the first event
    time_point arrived{};
    time_point deadline{}; ///< end of the caller's time
    time_point hold_end{}; ///< end of the time for which the request may be held
    double prompt_tokens = 0;
    double work = 0; ///< tokens of the prompt and the expected answer
};

/// Whether a request belongs to the admitted share of its class.
enum class admission_draw {
    refused,
    admitted,
    kept ///< admitted by the part that each class keeps, which respects less of what is reserved for others
};

/// Decides at one host which requests the engines of a service get while they can't serve all in time. All
/// hosts decide alike from the same reports, and at random, so that hundreds of hosts act like one without
/// a server that divides the room.
class admission_control
{
public:
    admission_control(timer_hooks timers, random_function random);

    /// Returns whether admission decides for the service: its engines have a known number of slots, and its
    /// routes have several priorities. Takes over the objectives of these routes.
    bool apply_terms(const site_bundle& bundle, const service_id& service);
    /// Returns whether admission decides for the service of the last terms.
    [[nodiscard]] bool is_on() const { return this->has_ranks; }
    /// Notes a caller's request.
    void note_arrival(const admission_request& request);
    /// Draws whether a request belongs to the share of its class that is admitted now.
    [[nodiscard]] admission_draw draw(const admission_request& request);
    /// Returns whether a request with this forecast will be in time. Shortly before and after the limit, the
    /// answer is drawn. Predictions alone refuse nobody while first events come early.
    [[nodiscard]] bool is_in_time(const admission_request& request, const path_forecast& forecast);
    /// Returns the slots of one head to keep for requests of higher priorities: as many as may arrive in
    /// excess of their mean before this host hears of them.
    [[nodiscard]] double reserved_slots(const request_class& kind, std::size_t heads);
    /// Returns the share of the admitted requests that have higher priorities at the engines.
    [[nodiscard]] double urgent_share(int priority);
    /// Returns the time after which a refused caller should return: until the backlog has gone, spread over a
    /// time that grows with the excess demand, and later for lower classes.
    [[nodiscard]] duration retry_after(const admission_request& request);
    /// Returns the state behind the decisions, for the log.
    [[nodiscard]] std::string describe();

    /// Sets the load that the other hosts see by their latest reports.
    void set_peer_load(const load_summary& load) { this->peer_load = load; }
    /// Returns the load that this host sees.
    [[nodiscard]] load_summary own_load() const { return this->own.summary(this->timers.now()); }
    /// Returns the share of the demand that is admitted now.
    [[nodiscard]] double admitted_share();

    load_meter own;
    forecast_corrections corrections;
    hold_queue queue;
    admission_counters counters;

private:
    [[nodiscard]] class_share share_of(const admission_request& request);
    /// Brings the estimate up to date.
    void refresh();

    timer_hooks timers;
    random_function random;
    duration objective{}; ///< the strictest of the service's routes
    std::optional<std::pair<bundle_version, service_id>> terms_of;
    bool has_ranks = false;
    load_summary peer_load;
    load_summary load; ///< of all hosts, as of the last refresh
    capacity_estimate estimate;
    double mean_work = 0; ///< moving average, in tokens
};

} // namespace sailtiller
