// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>
#include <placement/layerorder.h>
#include <placement/layerplan.h>

#include <map>
#include <set>

namespace sailtiller {

/// Time limits and thresholds of the placement controller.
struct placement_controller_settings
{
    placement_aim aim;
    duration look_interval = std::chrono::milliseconds(250);
    /// The first plan waits until no new engine has appeared for this time, as a plan for some of the engines
    /// is unbalanced.
    duration discovery_settle_time = std::chrono::milliseconds(1200);
    duration max_discovery_time = std::chrono::seconds(5); ///< upper bound of that wait
    /// Added to the predicted load time before an order counts as failed.
    duration load_slack = std::chrono::seconds(4);
    /// If more than this share of the engines seems dead at once, this host is assumed to have lost its
    /// connectivity, and the verdicts are ignored.
    double max_dead_share = 0.34;
    /// Time without further orders to an engine that refused one.
    duration refusal_backoff = std::chrono::seconds(1);
    /// Time for which an engine that vanished without leaving is expected back: three missed heartbeats, a
    /// start and the first entry. After nine of 30 engines had crashed, 0.386 of the requests of a day were
    /// served with this period and 0.255 without it.
    duration return_grace_period = std::chrono::seconds(10);
    /// A layout is balanced only after no order, loss or expected return for this time. Right after a loss,
    /// engines are crowded by the streams moved to them, and each balancing step moves more. On days on which
    /// three of 38 engines restarted, balancing without this window earned 0.757 of the worth, no balancing
    /// 0.791.
    duration stabilization_window = std::chrono::seconds(4);
    /// Time after which an order without an answer is sent again.
    duration resend_interval = std::chrono::milliseconds(500);
};

/// Callbacks of the placement controller.
struct placement_controller_hooks
{
    timer_hooks timers;
    std::function<void(const layer_order&, std::function<void(order_result)>)> send;
    /// Fencing token of this host; empty if another host holds the order duty.
    std::function<std::optional<fencing_token>()> token;
    /// Called when an engine refused the token, which must not be used again.
    std::function<void(fencing_token)> on_fenced;
    std::function<void(const layer_order&, order_result)> on_result;
    /// Share of the token capacity of an engine that the requests of all hosts use. Optional.
    std::function<double(const engine_profile&, const discovered_upstream&)> used_share = nullptr;
    /// Share of the request slots of an engine that holds layer 0 which the requests of all hosts use.
    /// Optional.
    std::function<double(const engine_profile&, const discovered_upstream&)> used_slot_share = nullptr;
    /// True for an engine that does not respond although its entry is still present.
    std::function<bool(const upstream_id&)> is_dead;
};

/// Keeps every layer of the model held by issuing layer orders, on the host that holds the order duty. All
/// state is derived from what the engines hold, so a new holder of the duty needs no hand-over.
class placement_controller
{
public:
    placement_controller(placement_controller_settings settings, placement_controller_hooks hooks,
        const upstream_directory& directory);

    /// Plans and issues orders if this host holds the duty. Called periodically and after changes.
    void reconcile(const engine_profile& profile, const service_id& service);
    /// Number of orders whose completion has not been observed.
    [[nodiscard]] std::size_t pending_order_count() const { return this->pending.size(); }
    [[nodiscard]] std::vector<upstream_id> engines_with_pending_orders() const;

private:
    /// An order whose completion has not been observed.
    struct pending_order
    {
        layer_order order;
        time_point since{};
        time_point expires{};
        bool is_awaiting_answer = false;
        bool is_begun = false;
        bool closes_coverage_gap = false;
    };

    /// The engines that may be assigned layers.
    struct engine_view
    {
        std::vector<placeable_engine> engines;
        bool is_fresh = true; ///< no engine holds layers or has an order
    };

    /// Last observed state of an engine.
    struct seen_engine
    {
        placeable_engine engine;
        time_point at{};
    };

    void drop_finished(time_point now);
    /// Engines that vanished recently without leaving, keyed by address, which stays the same over restarts.
    [[nodiscard]] std::vector<placeable_engine> list_absent(time_point now);
    /// Engines of the service that seem dead; empty if they exceed `max_dead_share`.
    [[nodiscard]] std::set<upstream_id> list_dead(const service_id& service) const;
    [[nodiscard]] engine_view list_engines(
        const engine_profile& profile, const service_id& service, time_point now);
    /// Phase by the time since this host got the duty and by current activity.
    [[nodiscard]] observation_phase determine_phase(
        const std::vector<placeable_engine>& absent, time_point now);
    /// Sets `used_share` and `used_slot_share` of the engines.
    void update_used_shares(const engine_profile& profile, std::vector<placeable_engine>& engines) const;
    /// True while engines still appear before the first plan, or if there are none.
    [[nodiscard]] bool must_wait_for_discovery(const engine_view& view, time_point now);
    void resend_unanswered(fencing_token token, time_point now);
    /// True if the load of this step does not slow loads that close a coverage gap: all loads of a deployment
    /// share one store of weights.
    [[nodiscard]] bool may_start_load(const engine_profile& profile, const placement_step& step) const;
    void give(const engine_profile& profile, const placement_step& step, fencing_token token);
    void send(pending_order& item);
    void handle_result(const upstream_id& id, const layer_span& span, order_result result);
    [[nodiscard]] duration predict_load(const engine_profile& profile, const layer_span& span) const;

    placement_controller_settings settings;
    placement_controller_hooks hooks;
    const upstream_directory& directory;
    std::map<upstream_id, pending_order> pending;
    std::map<upstream_id, time_point> backoff_until; ///< end of the backoff after a refused order
    std::map<endpoint, seen_engine> recently_seen;
    std::size_t engines_seen = 0; ///< at the last reconciliation
    std::optional<time_point> duty_since; ///< empty while another host holds the duty
    time_point
        last_activity{}; ///< when something was ordered, lost or awaited last, or a better layout looked for
    std::optional<time_point> first_seen;
    time_point last_appeared{};
};

} // namespace sailtiller
