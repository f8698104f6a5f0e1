// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>
#include <placement/layerorder.h>
#include <placement/layerplan.h>

#include <map>
#include <set>

namespace sailtiller {

/// Times of the keeper.
struct placement_controller_settings
{
    placement_aim aim;
    duration look_interval = std::chrono::milliseconds(250);
    /// While no engine holds anything, engines still appear; a plan made too early is lopsided.
    duration discovery_settle_time = std::chrono::milliseconds(1200);
    duration max_discovery_time = std::chrono::seconds(5);
    /// On top of the predicted time of a load, before it counts as failed.
    duration load_slack = std::chrono::seconds(4);
    /// More engines than this share that seem dead at once say that this host can't reach them, so nothing is
    /// placed anew on that word.
    double max_dead_share = 0.34;
    /// An engine that refused an order is left alone for this long.
    duration refusal_backoff = std::chrono::seconds(1);
    /// An engine that vanished without leaving counts as coming back for so long: three silent heartbeats, a
    /// start and its first entry. After nine of 30 engines had crashed, 0.386 of a day's requests were served
    /// rather than 0.255 (one play each).
    duration return_grace_period = std::chrono::seconds(10);
    /// Engines that serve are moved, to balance a layout, once nothing was ordered, lost or awaited for so
    /// long: right after a loss engines are crowded by the streams that it moved, and each step moves more of
    /// them. Without a pause 0.757 of the worth was earned on days on which three of 38 engines started anew,
    /// with none balanced 0.791 (mean of five plays each).
    duration stabilization_window = std::chrono::seconds(4);
    /// An order without answer is repeated after this.
    duration resend_interval = std::chrono::milliseconds(500);
};

/// What the keeper asks and tells.
struct placement_controller_hooks
{
    timer_hooks timers;
    std::function<void(const layer_order&, std::function<void(order_result)>)> send;
    /// The token under which this host may give orders; nothing if another host does.
    std::function<std::optional<fencing_token>()> token;
    /// This host's token was refused, so it may not be used any more.
    std::function<void(fencing_token)> on_fenced;
    std::function<void(const layer_order&, order_result)> on_result;
    /// Share of an engine's room for tokens that all hosts' requests use; may be left out.
    std::function<double(const engine_profile&, const discovered_upstream&)> used_share = nullptr;
    /// True for an engine that gives no sign of life, though its entry still stands.
    std::function<bool(const upstream_id&)> is_dead;
};

/// Keeps every layer of the model held, on the host that gives the orders. What the engines hold is the
/// truth; a new owner of the duty derives everything from that and needs no hand-over.
class placement_controller
{
public:
    placement_controller(placement_controller_settings settings, placement_controller_hooks hooks,
        const upstream_directory& directory);

    /// Plans and gives orders if this host has the duty. Called at the interval and when something changed.
    void reconcile(const engine_profile& profile, const service_id& service);
    /// Orders that have not been seen to be done.
    [[nodiscard]] std::size_t pending_order_count() const { return this->pending.size(); }
    /// The engines that these orders are for.
    [[nodiscard]] std::vector<upstream_id> engines_with_pending_orders() const;

private:
    /// An order that has not been seen to be done.
    struct pending_order
    {
        layer_order order;
        time_point since{};
        time_point expires{};
        bool is_awaiting_answer = false;
        bool is_begun = false;
        bool closes_coverage_gap = false;
    };

    /// The engines that may get layers.
    struct engine_view
    {
        std::vector<placeable_engine> engines;
        bool is_fresh = true; ///< none holds anything or has an order
    };

    /// An engine as it was seen last.
    struct seen_engine
    {
        placeable_engine engine;
        time_point at{};
    };

    void drop_finished(time_point now);
    /// Engines that vanished lately without leaving, by their addresses, which outlive their starts.
    [[nodiscard]] std::vector<placeable_engine> list_absent(time_point now);
    /// The service's engines that seem dead; none if these are too many to be believed.
    [[nodiscard]] std::set<upstream_id> list_dead(const service_id& service) const;
    [[nodiscard]] engine_view list_engines(
        const engine_profile& profile, const service_id& service, time_point now);
    /// How long this host has had the duty, and whether anything goes on.
    [[nodiscard]] observation_phase determine_phase(
        const std::vector<placeable_engine>& absent, time_point now);
    /// Fills in how far the engines' room is used.
    void update_used_shares(const engine_profile& profile, std::vector<placeable_engine>& engines) const;
    /// True while engines still appear for a first plan, or there are none.
    [[nodiscard]] bool must_wait_for_discovery(const engine_view& view, time_point now);
    void resend_unanswered(fencing_token token, time_point now);
    /// True if a load of this step doesn't slow those that close a hole: all loads of a deployment share one
    /// store of weights.
    [[nodiscard]] bool may_start_load(const engine_profile& profile, const placement_step& step) const;
    void give(const engine_profile& profile, const placement_step& step, fencing_token token);
    void send(pending_order& item);
    void handle_result(const upstream_id& id, const layer_span& span, order_result result);
    [[nodiscard]] duration predict_load(const engine_profile& profile, const layer_span& span) const;

    placement_controller_settings settings;
    placement_controller_hooks hooks;
    const upstream_directory& directory;
    std::map<upstream_id, pending_order> pending;
    std::map<upstream_id, time_point> backoff_until; ///< until when, after they refused an order
    std::map<endpoint, seen_engine> recently_seen;
    std::size_t engines_seen = 0; ///< at the last look
    std::optional<time_point> duty_since; ///< nothing while another host has it
    time_point
        last_activity{}; ///< when something was ordered, lost or awaited last, or a better layout looked for
    std::optional<time_point> first_seen;
    time_point last_appeared{};
};

} // namespace sailtiller
