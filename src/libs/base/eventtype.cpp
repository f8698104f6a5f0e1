// SPDX-License-Identifier: Apache-2.0
#include <base/eventtype.h>

namespace sailtiller {

std::string_view name_of(event_type event)
{
    switch (event) {
    case event_type::started:
        return "started";
    case event_type::stopping:
        return "stopping";
    case event_type::stopped:
        return "stopped";
    case event_type::reload:
        return "reload";
    case event_type::settings_file_unreadable:
        return "settings_file_unreadable";
    case event_type::internal_error:
        return "internal_error";
    case event_type::log_lines_left_out:
        return "log_lines_left_out";
    case event_type::bundle_in_force:
        return "bundle_in_force";
    case event_type::bundle_unusable:
        return "bundle_unusable";
    case event_type::bundle_refused:
        return "bundle_refused";
    case event_type::carry_failed:
        return "carry_failed";
    case event_type::log_unreachable:
        return "log_unreachable";
    case event_type::malformed_record:
        return "malformed_record";
    case event_type::upstream_alive:
        return "upstream_alive";
    case event_type::upstream_back:
        return "upstream_back";
    case event_type::upstream_changed:
        return "upstream_changed";
    case event_type::upstream_dead:
        return "upstream_dead";
    case event_type::upstream_entry_unusable:
        return "upstream_entry_unusable";
    case event_type::upstream_gone:
        return "upstream_gone";
    case event_type::upstream_leaving:
        return "upstream_leaving";
    case event_type::upstream_outlived:
        return "upstream_outlived";
    case event_type::upstream_still_dead:
        return "upstream_still_dead";
    case event_type::upstream_lapsed:
        return "upstream_lapsed";
    case event_type::upstreams_listed:
        return "upstreams_listed";
    case event_type::engine_report_unusable:
        return "engine_report_unusable";
    case event_type::order:
        return "order";
    case event_type::host_list_changed:
        return "host_list_changed";
    case event_type::host_list_unreachable:
        return "host_list_unreachable";
    case event_type::host_record_unusable:
        return "host_record_unusable";
    case event_type::peer_answer_malformed:
        return "peer_answer_malformed";
    case event_type::peer_question_malformed:
        return "peer_question_malformed";
    case event_type::peer_unreachable:
        return "peer_unreachable";
    case event_type::peers_welcome:
        return "peers_welcome";
    case event_type::store_call_failed:
        return "store_call_failed";
    case event_type::answered:
        return "answered";
    case event_type::broken_off:
        return "broken_off";
    case event_type::caller_gone:
        return "caller_gone";
    case event_type::caller_left:
        return "caller_left";
    case event_type::finished:
        return "finished";
    case event_type::finished_late:
        return "finished_late";
    case event_type::held_at_entry:
        return "held_at_entry";
    case event_type::path_change_refused:
        return "path_change_refused";
    case event_type::path_changed:
        return "path_changed";
    case event_type::path_failed:
        return "path_failed";
    case event_type::refused:
        return "refused";
    case event_type::refused_at_entry:
        return "refused_at_entry";
    case event_type::refused_by_upstream:
        return "refused_by_upstream";
    case event_type::request_failed:
        return "request_failed";
    case event_type::request_refused:
        return "request_refused";
    case event_type::sent:
        return "sent";
    case event_type::time_limit:
        return "time_limit";
    case event_type::upstream_failed:
        return "upstream_failed";
    }
    return "unknown";
}

} // namespace sailtiller
