// SPDX-License-Identifier: Apache-2.0
#include <delivery/pathchooser.h>

#include <routing/headlist.h>

#include <algorithm>

namespace sailtiller {

const engine_profile* path_chooser::profile() const
{
    const upstream_pool* pool = this->order.bundle->find_pool(this->order.service);
    return pool != nullptr && pool->engine ? &*pool->engine : nullptr;
}

double path_chooser::expected_answer_tokens() const
{
    const caller_request& request = this->order.request;
    double tokens = request.predicted_answer_tokens.value_or(request.max_answer_tokens);
    if (request.max_answer_tokens > 0) {
        tokens = std::min(tokens, request.max_answer_tokens);
    }
    return std::max(tokens, 1.0);
}

double path_chooser::expected_tokens() const
{
    return this->order.request.prompt_tokens + this->expected_answer_tokens();
}

double path_chooser::pipe_share(const data_hall_id& from, const data_hall_id& to, time_point now) const
{
    return this->context.pipes.utilization(from, to, this->profile()->pipe_bits_per_s(), now);
}

std::optional<layer_path> path_chooser::find(
    const std::set<upstream_id>& avoided, const layer_path& present) const
{
    return this->find_led_by(avoided, present, std::nullopt);
}

std::optional<layer_path> path_chooser::find_to_send(const std::set<upstream_id>& avoided, bool has_started)
{
    this->has_no_slot = false;
    if (this->context.heads == nullptr || this->profile()->request_slots == 0) {
        return this->find(avoided);
    }
    const time_point now = this->context.timers.now();
    std::vector<head_slots> heads = list_heads(*this->profile(), this->order.service, this->context.directory,
        this->context.loads, this->context.data_hall, now);
    const bool is_gate_open = this->gate.is_open();
    std::erase_if(heads, [&](const head_slots& head) {
        return avoided.contains(head.id) || (!is_gate_open && !this->gate.may_send(head.id));
    });
    const head_choice choice = this->context.heads->choose(heads, now, has_started);
    this->has_no_slot = choice.is_bound && !choice.head && !has_started;
    if (this->has_no_slot) {
        return std::nullopt;
    }
    std::optional<layer_path> found = this->find_led_by(avoided, {}, choice.head);
    // With that head alone, a path may have more stages than engines accept.
    return found || !choice.head ? std::move(found) : this->find(avoided);
}

std::optional<layer_path> path_chooser::find_led_by(const std::set<upstream_id>& avoided,
    const layer_path& present, const std::optional<upstream_id>& head) const
{
    path_query question;
    question.service = this->order.service;
    question.origin = this->context.data_hall;
    question.prompt_tokens = this->order.request.prompt_tokens;
    question.answer_tokens = this->expected_answer_tokens();
    question.avoided = avoided;
    question.current_path = present;
    question.now = this->context.timers.now();
    question.random = this->context.random;
    question.pipe_utilization = [this, now = question.now](const data_hall_id& from, const data_hall_id& to) {
        return this->pipe_share(from, to, now);
    };
    if (head) {
        question.may_be_head = [&head](const upstream_id& id) { return id == *head; };
    } else if (!this->gate.is_open()) {
        question.may_be_head = [this](const upstream_id& id) { return this->gate.may_send(id); };
    }
    return find_layer_path(*this->profile(), this->context.directory, this->context.loads, question);
}

std::optional<duration> path_chooser::retry_after_if_closed(const std::set<upstream_id>& avoided) const
{
    const auto may_be_head = [this](const discovered_upstream& upstream) {
        return upstream.service == this->order.service && !upstream.is_leaving && upstream.held.holds(0);
    };
    return this->gate.retry_after_if_closed(may_be_head, avoided);
}

bool path_chooser::has_room(const layer_path& path) const
{
    const double fullest = predict_peak_utilization(
        *this->profile(), this->context.directory, this->context.loads, path, this->expected_tokens());
    const time_point now = this->context.timers.now();
    bool are_pipes_free = true;
    visit_crossings(this->context.directory, path, [&](const data_hall_id& from, const data_hall_id& to) {
        const double share = this->pipe_share(from, to, now);
        are_pipes_free = are_pipes_free && share < this->context.settings.most_pipe_share;
    });
    return are_pipes_free && fullest <= this->context.settings.max_engine_load;
}

bool path_chooser::is_idle(const path_stage& part) const
{
    const engine_profile& profile = *this->profile();
    const engine_loads& loads = this->context.loads;
    const double share = predict_peak_utilization(profile, this->context.directory, loads, {part}, 0);
    const double slots = profile.request_slots == 0
        ? 0
        : loads.total_requests(loads.of(part.id)) / static_cast<double>(profile.request_slots);
    return std::max(share, slots) < this->context.settings.max_idle_load;
}

stream_expectation path_chooser::expect(const layer_path& path) const
{
    const engine_profile& profile = *this->profile();
    stream_expectation expected;
    expected.reading =
        predict_prompt_time(profile, this->context.directory, path, this->order.request.prompt_tokens);
    expected.token = predict_token_time(profile, this->context.directory, this->context.loads, path);
    expected.first_objective = this->order.route->latency_objective;
    expected.longest_pause = this->order.route->longest_pause;
    return expected;
}

double path_chooser::crossing_bits() const
{
    return this->profile()->crossing_bits(this->order.request.prompt_tokens);
}

std::unique_ptr<request_admission> path_chooser::start_admission()
{
    admission_control* control = this->context.admission;
    if (control == nullptr || !control->apply_terms(*this->order.bundle, this->order.service)) {
        return nullptr;
    }
    const service_route& route = *this->order.route;
    admission_request request;
    request.service = this->order.service;
    request.kind = {
        this->order.priority.value_or(route.priority), route.priority, !this->order.is_returning_caller()};
    request.objective = route.latency_objective;
    request.arrived = this->order.arrived;
    request.deadline = this->order.deadline();
    request.hold_end = this->order.hold_end(this->context.settings);
    request.prompt_tokens = this->order.request.prompt_tokens;
    request.work = this->expected_tokens();
    admission_view view{*this->profile(), this->context.directory, this->context.loads,
        this->context.timers.now,
        [this](const std::set<upstream_id>& avoided) { return this->find_to_send(avoided, false); },
        [this](const layer_path& path) { return this->has_room(path); },
        [this] { return this->is_short_of_slots(); }};
    return std::make_unique<request_admission>(*control, std::move(view), request);
}

} // namespace sailtiller
