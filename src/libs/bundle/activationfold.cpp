// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <bundle/activationfold.h>

namespace sailtiller {

namespace {

/// Verdicts kept for operators who ask after their activation; older ones are forgotten.
constexpr std::size_t most_verdicts = 1024;
/// Activations kept while they can't be judged. At 1,500 changes a day this is more than two days of them.
constexpr std::size_t most_unjudged = 4096;

} // namespace

activation_fold::activation_fold(trust_settings trust)
    : trust(std::move(trust))
{
}

generation_number activation_fold::generation() const
{
    return this->current ? this->current->content.generation : generation_number(0);
}

void activation_fold::note_first_retained(log_offset first_retained)
{
    if (first_retained <= this->next) {
        return;
    }
    this->complete = false;
    this->unjudged.clear();
    this->window_start = first_retained;
    this->next = first_retained;
}

void activation_fold::read(log_offset offset, const log_record& record)
{
    if (offset < this->next) {
        return;
    }
    this->note_first_retained(offset);
    this->next = log_offset(offset.value() + 1);
    if (const auto* item = std::get_if<signed_activation>(&record)) {
        this->read_activation(offset, *item);
    } else if (const auto* snapshot = std::get_if<activation_snapshot>(&record)) {
        this->read_snapshot(*snapshot);
    }
}

void activation_fold::skip(log_offset offset)
{
    if (offset >= this->next) {
        this->note_first_retained(offset);
        this->next = log_offset(offset.value() + 1);
    }
}

std::optional<activation> activation_fold::verify(const signed_activation& item)
{
    try {
        activation content = activation_from_statement(item.statement);
        if (content.deployment != this->trust.deployment) {
            ++this->counts.foreign_records;
            return std::nullopt;
        }
        if (this->is_trusted(content, item)) {
            return content;
        }
    } catch (const error&) {
        // A malformed statement counts below, like one without a valid signature.
    }
    ++this->counts.unsigned_records;
    return std::nullopt;
}

bool activation_fold::is_trusted(const activation& content, const signed_activation& item) const
{
    const std::string approval = sign_off_message(this->trust.deployment, content.manifest);
    return count_valid_signers(item.statement, item.signatures, this->trust.keys) >= 1
        && count_valid_signers(approval, item.sign_offs, this->trust.keys) >= 1;
}

void activation_fold::read_activation(log_offset offset, const signed_activation& item)
{
    const std::optional<activation> content = this->verify(item);
    if (!content) {
        return;
    }
    if (this->complete) {
        this->judge(*content, item);
    } else if (this->unjudged.size() < most_unjudged) {
        this->unjudged.push_back({offset, *content, item});
    } else {
        // Without this record a later snapshot could not be continued, so the window starts anew behind it.
        this->unjudged.clear();
        this->window_start = this->next;
    }
}

void activation_fold::judge(const activation& content, const signed_activation& original)
{
    if (this->current && this->current->content.id == content.id) {
        return; // the same record appended twice
    }
    const activation_id expected = this->current ? this->current->content.id : activation_id();
    const std::uint64_t generation_due = this->generation().value() + 1;
    activation_verdict verdict;
    if (content.follows != expected) {
        verdict.reason = "it follows an activation that was not in force any more";
    } else if (content.generation.value() != generation_due) {
        verdict.reason = "its generation must be " + std::to_string(generation_due);
    } else {
        verdict.outcome = activation_outcome::accepted;
        this->current = accepted_activation{content, original};
    }
    if (verdict.outcome == activation_outcome::refused) {
        ++this->counts.refused_activations;
    }
    this->remember_verdict(content, std::move(verdict));
}

void activation_fold::remember_verdict(const activation& content, activation_verdict verdict)
{
    if (this->current) {
        verdict.in_force = this->current->content.id;
        verdict.in_force_operator = this->current->content.operator_name;
    }
    // A record appended twice keeps its first verdict.
    if (!this->verdicts.emplace(content.id, std::move(verdict)).second) {
        return;
    }
    this->verdict_order.push_back(content.id);
    if (this->verdict_order.size() > most_verdicts) {
        this->verdicts.erase(this->verdict_order.front());
        this->verdict_order.pop_front();
    }
}

void activation_fold::read_snapshot(const activation_snapshot& item)
{
    if (this->complete || item.as_of < this->window_start || item.as_of > this->next) {
        return;
    }
    if (const std::optional<activation> content = this->verify(item.in_force)) {
        this->resume_from(item, *content);
    }
}

void activation_fold::resume_from(const activation_snapshot& snapshot, const activation& content)
{
    if (content.generation < this->generation()) {
        ++this->counts.contradicting_snapshots;
        return;
    }
    this->current = accepted_activation{content, snapshot.in_force};
    this->complete = true;
    std::vector<unjudged_activation> waiting;
    waiting.swap(this->unjudged);
    for (const unjudged_activation& item : waiting) {
        if (item.offset >= snapshot.as_of) {
            this->judge(item.content, item.original);
        }
    }
}

bool activation_fold::adopt(const activation_snapshot& snapshot)
{
    const std::optional<activation> content = this->verify(snapshot.in_force);
    if (!content) {
        return false;
    }
    if (snapshot.as_of > this->next) {
        if (content->generation < this->generation()) {
            ++this->counts.contradicting_snapshots;
            return false;
        }
        this->next = snapshot.as_of;
        this->window_start = snapshot.as_of;
        this->unjudged.clear();
        this->resume_from(snapshot, *content);
        return true;
    }
    if (!this->complete && snapshot.as_of >= this->window_start) {
        this->resume_from(snapshot, *content);
        return true;
    }
    if (!this->complete && content->generation > this->generation()) {
        this->current = accepted_activation{*content, snapshot.in_force};
        return true;
    }
    return false;
}

std::optional<activation_snapshot> activation_fold::snapshot() const
{
    if (!this->current || !this->complete) {
        return std::nullopt;
    }
    return activation_snapshot{this->next, this->current->original};
}

std::optional<activation_verdict> activation_fold::verdict_of(const activation_id& id) const
{
    const auto found = this->verdicts.find(id);
    if (found == this->verdicts.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace sailtiller
