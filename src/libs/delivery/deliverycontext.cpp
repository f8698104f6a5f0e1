// SPDX-License-Identifier: Apache-2.0
#include <base/httpstatus.h>
#include <base/timetext.h>
#include <bundle/digest.h>
#include <delivery/deliverycontext.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace sailtiller {

namespace {

/// Answers are sent this long before the limit, so that they arrive within it.
constexpr duration answer_margin = std::chrono::milliseconds(20);

/// A caller with this much less time than its route allows has spent it on an earlier try: connecting takes
/// milliseconds, and a refused caller returns after a second.
constexpr duration first_try_margin = std::chrono::milliseconds(500);

/// Share of the promised maximum pause that an engine's answer to a path change may take. Another third goes
/// to detecting the failure, and the rest to recomputing the state of the lost stage.
constexpr double path_change_share = 1.0 / 3;

/// 128 bits: digests of the requests that a fleet remembers don't collide.
constexpr std::size_t content_digits = 32;

std::string write_seconds(duration time)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
    return text.data();
}

} // namespace

time_point delivery_order::deadline() const
{
    duration limit = this->route->time_limit;
    if (this->request.time_limit) {
        limit = std::min(limit, *this->request.time_limit);
    }
    return this->arrived + std::max(limit - answer_margin, answer_margin);
}

std::string delivery_order::describe_time_limit() const
{
    const std::optional<duration>& own = this->request.time_limit;
    if (own && *own <= this->route->time_limit) {
        return "limit of the caller " + write_milliseconds(*own) + " ms";
    }
    return "limit of the route " + write_milliseconds(this->route->time_limit) + " ms in bundle "
        + std::to_string(this->bundle->version.value());
}

time_point delivery_order::hold_end(const delivery_settings& settings) const
{
    const double share =
        this->is_returning_caller() ? settings.max_returning_hold_share : settings.max_hold_share;
    return this->arrived + scale(this->route->latency_objective, share);
}

bool delivery_order::is_returning_caller() const
{
    const std::optional<duration>& left = this->request.time_limit;
    return this->request.last_event || (left && *left + first_try_margin < this->route->time_limit);
}

duration delivery_order::path_change_limit() const
{
    return scale(promised_pause(this->route->longest_pause), path_change_share);
}

bool delivery_order::may_run_again(unsigned runs) const
{
    return runs == 0 || (this->route->may_repeat() && runs < this->route->most_attempts);
}

request_content delivery_order::content() const
{
    const std::string caller = this->account ? this->account->value() : std::string();
    std::string text;
    for (const std::string* part : {&this->request.path, &caller, &this->request.body.text()}) {
        text += std::to_string(part->size()) + ":" + *part; // lengths keep the texts distinct
    }
    return request_content(digest_of(text).value().substr(0, content_digits));
}

std::string delivery_order::describe_content() const
{
    std::string text = "content " + this->content().value();
    const char* separator = ", parts ";
    for (const prompt_part_id& part : this->request.shared_parts) {
        text += separator + part.value();
        separator = " ";
    }
    return text;
}

upstream_request delivery_order::make_request(const upstream_id& target, time_point now) const
{
    upstream_request item;
    item.target = target;
    item.account = this->account;
    item.time_left = this->deadline() - now;
    item.priority = this->priority;
    item.last_event = this->request.last_event;
    return item;
}

bool is_stop_too_near(const delivery_context& context, const delivery_order& order)
{
    return !context.stop.has_time_for(order.route->latency_objective, context.timers.now());
}

void measure_since_arrival(
    const delivery_context& context, const delivery_order& order, request_moment moment)
{
    if (context.measure) {
        context.measure(order, moment, context.timers.now() - order.arrived);
    }
}

std::string note_answer_fault(const delivery_context& context, answer_fault fault)
{
    if (context.count_answer_fault) {
        context.count_answer_fault(fault);
    }
    return "malformed answer, " + std::string(name_of(fault));
}

void avoid_after_refusal(const delivery_context& context, const upstream_id& id)
{
    context.loads.avoid(id, context.timers.now() + context.settings.refusal_pause);
}

void avoid_unwilling(const delivery_context& context, const upstream_id& id)
{
    context.loads.note_unwilling(
        id, context.timers.now(), context.settings.unwilling_pause, context.settings.max_unwilling_pause);
}

void note_unreachable(const delivery_context& context, const upstream_id& id)
{
    // A lost packet, an engine that resets connections as it has too many, and a dead one look the same.
    // Streams that go on over it show that it lives; otherwise the probe does.
    avoid_after_refusal(context, id);
    const bool is_own_fault = context.is_group_reachable && !context.is_group_reachable(id);
    if (!is_own_fault && !context.watch.is_progressing(id)) {
        context.loads.note_unreachable(
            id, context.timers.now(), context.settings.suspension, context.settings.max_suspension);
    }
    context.watch.suspect(id);
}

void note_failure(const delivery_context& context, const upstream_id& id)
{
    context.loads.note_failure(
        id, context.timers.now(), context.settings.unwilling_pause, context.settings.max_unwilling_pause);
}

void note_answer(
    const delivery_context& context, const upstream_id& id, const upstream_answer& answer, time_point sent)
{
    // An upstream that refuses a request meant for another one is not the target.
    if (answer.status == http_status::misdirected) {
        return;
    }
    const auto log = [&](event_type event, const std::string& detail) {
        context.log({event, answer.id.value(), id.value(), detail});
    };
    if (answer.pause) {
        context.pauses.note(id, *answer.pause, context.timers.now());
        log(event_type::upstream_pause_asked, write_seconds(*answer.pause) + " s");
    } else if (answer.is_pause_unusable) {
        log(event_type::upstream_pause_unusable, "");
    }
    if (answer.is_leaving) {
        context.on_leaving(id);
    }
    if (answer.is_limit_unusable) {
        log(event_type::upstream_limit_unusable, "");
        return;
    }
    context.limits.note_answer(id, answer.requests_per_second, sent);
}

bool has_retry_allowance(const delivery_context& context, const delivery_order& order, unsigned arrivals)
{
    return arrivals == 0 || context.retries.left(order.service, context.timers.now()) >= 1;
}

std::optional<duration> retry_after_if_unreachable(
    const delivery_context& context, const delivery_order& order)
{
    return context.retry_after_if_unreachable
        ? context.retry_after_if_unreachable(order.service, order.route->may_repeat())
        : std::nullopt;
}

http_response make_refusal(duration retry_after, const std::string& reason)
{
    return {http_status::unavailable,
        {{"content-type", "text/plain"}, {"retry-after", write_seconds(retry_after)}}, reason + "\n"};
}

http_response make_failure(int status, const std::string& reason)
{
    return {status, {{"content-type", "text/plain"}}, reason + "\n"};
}

http_response make_last_answer(
    const delivery_order& order, unsigned runs, duration retry_after, const std::string& reason)
{
    if (runs > 0 && !order.route->may_repeat()) {
        return make_failure(http_status::bad_gateway, reason);
    }
    return make_refusal(retry_after, reason);
}

} // namespace sailtiller
