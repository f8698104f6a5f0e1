// SPDX-License-Identifier: Apache-2.0
#include <delivery/suspectguard.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Maximum time from the first event to a crash that counts against the request. Requests that crash an
/// engine do so early: 45 to 77 ms after the first step in four cases, and without any event in 27 of 28
/// crashes. A stream answered for longer is unrelated: of 813 streams that broke with their engines, 88 had
/// no event.
constexpr duration max_start_time = std::chrono::milliseconds(250);

/// The suspect that a refusal names: a part, if there is one, as other requests share it.
const suspect_id& select_named(const suspect_list& suspects)
{
    const auto part = std::find_if(suspects.begin(), suspects.end(),
        [](const suspect_id& item) { return item.kind == suspect_kind::prompt_part; });
    return part == suspects.end() ? suspects.front() : *part;
}

} // namespace

suspect_list suspect_guard::list_parts() const
{
    const std::vector<prompt_part_id>& parts = this->order.request.shared_parts;
    suspect_list list;
    std::transform(parts.begin(), parts.end(), std::back_inserter(list),
        [](const prompt_part_id& part) { return suspect_id(part); });
    return list;
}

const suspect_list& suspect_guard::causes()
{
    if (!this->known_causes) {
        this->known_causes = this->list_parts();
        this->known_causes->emplace_back(this->order.content());
    }
    return *this->known_causes;
}

void suspect_guard::refuse_suspect(
    const suspect_list& suspects, const std::string& outlook, duration retry_after, const refusal& refuse)
{
    const suspect_id& named = select_named(suspects);
    if (this->context.count_suspect_refusal) {
        this->context.count_suspect_refusal(named.kind);
    }
    const bool is_part = named.kind == suspect_kind::prompt_part;
    refuse("upstreams crashed while running "
            + (is_part ? "requests with part " + named.value + " of this prompt"
                       : std::string("this request"))
            + "; " + outlook,
        retry_after);
}

bool suspect_guard::is_cleared_to_send(const std::function<void()>& on_answer, const refusal& refuse)
{
    if (this->trial == trial_state::given || this->context.suspects.is_empty()) {
        return true;
    }
    if (this->trial == trial_state::asking) {
        return false;
    }
    if (this->trial == trial_state::withheld) {
        this->trial = trial_state::none;
        this->refuse_suspect(
            this->trial_suspects, "no trial is available now", this->context.settings.retry_after, refuse);
        return false;
    }
    const send_assessment judged = this->context.suspects.assess(this->causes(), this->context.timers.now());
    switch (judged.decision) {
    case send_decision::free:
        return true;
    case send_decision::later:
        this->refuse_suspect(judged.suspects, "a trial is running or follows later", judged.wait, refuse);
        return false;
    case send_decision::never:
        this->refuse_suspect(judged.suspects, "they crashed in all trials too", judged.wait, refuse);
        return false;
    case send_decision::trial:
        break;
    }
    this->trial = trial_state::asking;
    this->trial_suspects = judged.suspects;
    this->context.claim_trial(this->trial_suspects, [this, on_answer](bool is_given) {
        this->trial = is_given ? trial_state::given : trial_state::withheld;
        on_answer();
    });
    return false;
}

void suspect_guard::note_sent()
{
    this->is_trial_send = this->trial == trial_state::given;
    this->trial = trial_state::none;
    this->is_counted = false;
    this->has_passed = false;
    this->first_progress.reset();
}

void suspect_guard::note_not_reached()
{
    if (this->is_trial_send) {
        this->trial = trial_state::given;
    }
}

bool suspect_guard::is_past_start_phase() const
{
    return this->first_progress && this->context.timers.now() - *this->first_progress > max_start_time;
}

void suspect_guard::note_progress()
{
    if (!this->first_progress) {
        this->first_progress = this->context.timers.now();
    }
    if (!this->has_passed && this->is_past_start_phase()) {
        this->note_passed();
    }
}

void suspect_guard::note_passed()
{
    this->has_passed = true;
    const time_point now = this->context.timers.now();
    // The content is needed only if there is a record of it.
    this->context.suspects.note_passed(
        this->context.suspects.is_empty() ? this->list_parts() : this->causes(), now);
}

void suspect_guard::note_ended(const upstream_id& upstream)
{
    // Several engines of one path may crash together; they count once per send.
    if (this->is_past_start_phase() || this->is_counted) {
        return;
    }
    this->is_counted = true;
    this->context.suspects.note_crash(this->causes(), upstream, this->context.timers.now());
}

void suspect_guard::note_completed()
{
    if (!this->has_passed) {
        this->note_passed();
    }
}

} // namespace sailtiller
