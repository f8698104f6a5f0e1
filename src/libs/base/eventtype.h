// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace sailtiller {

/// Everything that may stand in the log as an event, and as a kind in the counters: a closed list, so that
/// whoever reads logs knows what to look for. docs/OPERATIONS.md tells what each says about a failure.
enum class event_type {
    // the process
    started,
    stopping,
    stopped,
    reload,
    setting_replaced,
    settings_file_unreadable,
    internal_error,
    log_lines_left_out,
    // configuration
    bundle_in_force,
    bundle_unusable,
    bundle_accounts_unusable,
    bundle_refused,
    carry_failed,
    log_unreachable,
    malformed_record,
    // upstreams
    upstream_alive,
    upstream_back,
    upstream_changed,
    upstream_dead,
    upstream_entry_unusable,
    upstream_gone,
    upstream_lapsed,
    upstream_leaving,
    upstream_limit_ended,
    upstream_limit_unusable,
    upstream_limited,
    upstream_outlived,
    upstream_pause_asked,
    upstream_pause_unusable,
    upstream_still_dead,
    upstreams_listed,
    upstreams_reachable,
    upstreams_unreachable,
    engine_report_unusable,
    order,
    // other hosts and the store
    host_list_changed,
    host_list_unreachable,
    host_record_unusable,
    peer_answer_malformed,
    peer_question_malformed,
    peer_unreachable,
    peers_welcome,
    store_call_failed,
    store_history_changed,
    // requests
    answered,
    broken_off,
    caller_gone,
    caller_left,
    finished,
    finished_late,
    held_at_entry,
    held_for_room,
    path_change_refused,
    path_changed,
    path_failed,
    prompt_part_cleared,
    prompt_part_suspected,
    refused,
    refused_at_entry,
    refused_by_upstream,
    relay_refused,
    relayed,
    relayed_for_peer,
    request_cleared,
    request_failed,
    request_header_unreadable,
    request_refused,
    request_suspected,
    sent,
    time_limit,
    trial_given,
    trial_withheld,
    upstream_failed,
};

/// All of them, in the order of the list.
inline constexpr std::array all_event_types = {event_type::started, event_type::stopping, event_type::stopped,
    event_type::reload, event_type::setting_replaced, event_type::settings_file_unreadable,
    event_type::internal_error, event_type::log_lines_left_out, event_type::bundle_in_force,
    event_type::bundle_unusable, event_type::bundle_accounts_unusable, event_type::bundle_refused,
    event_type::carry_failed, event_type::log_unreachable, event_type::malformed_record,
    event_type::upstream_alive, event_type::upstream_back, event_type::upstream_changed,
    event_type::upstream_dead, event_type::upstream_entry_unusable, event_type::upstream_gone,
    event_type::upstream_lapsed, event_type::upstream_leaving, event_type::upstream_limit_ended,
    event_type::upstream_limit_unusable, event_type::upstream_limited, event_type::upstream_outlived,
    event_type::upstream_pause_asked, event_type::upstream_pause_unusable, event_type::upstream_still_dead,
    event_type::upstreams_listed, event_type::upstreams_reachable, event_type::upstreams_unreachable,
    event_type::engine_report_unusable, event_type::order, event_type::host_list_changed,
    event_type::host_list_unreachable, event_type::host_record_unusable, event_type::peer_answer_malformed,
    event_type::peer_question_malformed, event_type::peer_unreachable, event_type::peers_welcome,
    event_type::store_call_failed, event_type::store_history_changed, event_type::answered,
    event_type::broken_off, event_type::caller_gone, event_type::caller_left, event_type::finished,
    event_type::finished_late, event_type::held_at_entry, event_type::held_for_room,
    event_type::path_change_refused, event_type::path_changed, event_type::path_failed,
    event_type::prompt_part_cleared, event_type::prompt_part_suspected, event_type::refused,
    event_type::refused_at_entry, event_type::refused_by_upstream, event_type::relay_refused,
    event_type::relayed, event_type::relayed_for_peer, event_type::request_cleared,
    event_type::request_failed, event_type::request_header_unreadable, event_type::request_refused,
    event_type::request_suspected, event_type::sent, event_type::time_limit, event_type::trial_given,
    event_type::trial_withheld, event_type::upstream_failed};
static_assert(all_event_types.size() == static_cast<std::size_t>(event_type::upstream_failed) + 1,
    "each event type stands in the list, and the last one is the last of the enumeration");

/// As it stands in the log: lower case, with underscores.
std::string_view name_of(event_type event);

} // namespace sailtiller
