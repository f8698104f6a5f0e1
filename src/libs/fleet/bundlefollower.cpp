// SPDX-License-Identifier: Apache-2.0
#include <fleet/bundlefollower.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// Records that a host renews in one round, well below the log's capacity of some hundred appends a second.
constexpr std::size_t max_renewals_per_round = 20;
constexpr std::uint32_t most_doublings = 10;
/// Queries to peers for missing parts before the log is searched for them.
constexpr std::uint32_t part_queries_before_search = 1;
constexpr duration pause_at_head = std::chrono::milliseconds(50);
const std::string activation_record = "activation";

} // namespace

bundle_follower::bundle_follower(follower_settings settings, follower_hooks hooks)
    : settings(std::move(settings))
    , hooks(std::move(hooks))
    , activations(this->settings.trust)
    , store(this->settings.max_unpinned_bytes)
    , renewals(this->settings.renewal, this->settings.self)
{
}

void bundle_follower::start()
{
    this->is_running = true;
    this->is_reading = false;
    // A peer's state saves a starting host from reading the whole log, and the log from the load of many
    // hosts that start at once.
    const std::size_t asked = this->hooks.ask_peers({});
    const duration wait = asked == 0 || this->applied ? duration::zero() : this->settings.first_peer_wait;
    this->read_timer = this->hooks.timers.schedule_after(wait, [this] { this->begin_reading(); });
    this->peer_timer =
        this->hooks.timers.schedule_after(this->settings.peer_interval, [this] { this->check_with_peers(); });
    this->renew_due_records();
}

void bundle_follower::begin_reading()
{
    if (this->is_reading) {
        return;
    }
    this->is_reading = true;
    this->hooks.timers.cancel(this->read_timer);
    this->read_log();
}

void bundle_follower::stop()
{
    this->is_running = false;
    for (timer_id* timer : {&this->read_timer, &this->peer_timer, &this->renewal_timer}) {
        this->hooks.timers.cancel(*timer);
        *timer = 0;
    }
}

void bundle_follower::read_log()
{
    const std::weak_ptr<bool> held = this->alive;
    const auto guard = [this, held] { return !held.expired() && this->is_running; };
    // The first reads don't wait, so that a starting host reaches the log's end quickly.
    const duration wait = this->has_reached_head ? this->settings.read_wait : duration::zero();
    this->hooks.log.read(
        this->activations.next_offset(), wait,
        [this, guard](const log_page& page) {
            if (guard()) {
                this->handle_page(page);
            }
        },
        [this, guard](const error& failure) {
            if (guard()) {
                this->handle_log_failure(failure);
            }
        });
}

void bundle_follower::handle_page(const log_page& page)
{
    this->is_log_reachable = true;
    this->failures_in_a_row = 0;
    this->activations.note_first_retained(page.first_retained);
    for (const log_entry& entry : page.entries) {
        this->handle_entry(entry);
    }
    this->has_reached_head = this->has_reached_head || page.entries.empty();
    this->apply();
    if (page.entries.empty()) {
        // A log that answers without waiting must not be asked in a tight loop.
        this->read_timer = this->hooks.timers.schedule_after(pause_at_head, [this] { this->read_log(); });
        return;
    }
    this->read_log();
}

void bundle_follower::handle_entry(const log_entry& entry)
{
    const time_point now = this->hooks.timers.now();
    try {
        const log_record record = decode_record(entry.data);
        this->activations.read(entry.offset, record);
        if (const auto* part = std::get_if<bundle_part>(&record)) {
            this->store.add(part->body);
            this->renewals.note_seen(part->digest.value(), now);
        } else {
            this->renewals.note_seen(activation_record, now);
            this->pin_accepted_parts();
        }
    } catch (const error& malformed) {
        this->activations.skip(entry.offset);
        this->hooks.on_event(
            event_type::malformed_record, "offset " + std::to_string(entry.offset.value()), malformed.what());
    }
}

void bundle_follower::pin_accepted_parts()
{
    const std::optional<accepted_activation>& accepted = this->activations.in_force();
    const bool is_applied = accepted && this->applied && this->applied->source.id == accepted->content.id;
    if (!accepted || is_applied) {
        return;
    }
    const std::string* manifest = this->store.find(accepted->content.manifest);
    try {
        this->pin_parts(
            manifest == nullptr ? bundle_manifest{} : read_manifest(*manifest), accepted->content.manifest);
    } catch (const error&) {
        return; // `apply` tells that the manifest can't be used
    }
}

void bundle_follower::handle_log_failure(const error& failure)
{
    this->is_log_reachable = false;
    const std::uint32_t doublings = std::min(this->failures_in_a_row++, most_doublings);
    const duration pause =
        std::min(this->settings.retry_pause * (1 << doublings), this->settings.longest_retry_pause);
    this->hooks.on_event(event_type::log_unreachable, failure.peer(), failure.what());
    this->read_timer = this->hooks.timers.schedule_after(pause, [this] { this->read_log(); });
}

std::vector<part_digest> bundle_follower::wanted_parts() const
{
    const std::optional<accepted_activation>& accepted = this->activations.in_force();
    if (!accepted) {
        return {};
    }
    const std::string* manifest = this->store.find(accepted->content.manifest);
    if (manifest == nullptr) {
        return {accepted->content.manifest};
    }
    try {
        return missing_parts(read_manifest(*manifest), this->store.lookup());
    } catch (const error&) {
        return {}; // `apply` tells that the manifest can't be used
    }
}

void bundle_follower::check_with_peers()
{
    const bool has_gap = !this->activations.is_complete();
    const std::vector<part_digest> missing = this->wanted_parts();
    if (!this->is_log_reachable || has_gap || !missing.empty()) {
        this->hooks.ask_peers(missing);
    }
    this->unanswered_part_queries = missing.empty() ? 0 : this->unanswered_part_queries + 1;
    if (this->unanswered_part_queries > part_queries_before_search && this->is_log_reachable
        && !this->is_searching) {
        this->is_searching = true;
        this->search_log(log_offset(0));
    }
    this->peer_timer =
        this->hooks.timers.schedule_after(this->settings.peer_interval, [this] { this->check_with_peers(); });
}

void bundle_follower::search_log(log_offset from)
{
    const std::weak_ptr<bool> held = this->alive;
    this->hooks.log.read(
        from, duration::zero(),
        [this, held](const log_page& page) {
            if (!held.expired()) {
                this->search_page(page);
            }
        },
        [this, held](const error&) {
            if (!held.expired()) {
                this->is_searching = false;
            }
        });
}

void bundle_follower::search_page(const log_page& page)
{
    std::vector<part_digest> wanted = this->wanted_parts();
    for (const log_entry& entry : page.entries) {
        try {
            const log_record record = decode_record(entry.data);
            const auto* part = std::get_if<bundle_part>(&record);
            if (part != nullptr && std::find(wanted.begin(), wanted.end(), part->digest) != wanted.end()) {
                this->store.add(part->body);
                this->apply();
                wanted = this->wanted_parts(); // a manifest that was found may name more parts
            }
        } catch (const error&) {
            continue; // reported when it was first read
        }
    }
    this->is_searching = !page.entries.empty() && !this->wanted_parts().empty();
    if (this->is_searching) {
        this->search_log(page.next);
    }
}

void bundle_follower::handle_peer_state(const peer_bundle_state& state)
{
    const std::vector<part_digest> wanted_before = this->wanted_parts();
    for (const std::string& body : state.parts) {
        this->store.add(body);
    }
    if (this->activations.adopt(state.snapshot)) {
        this->renewals.note_needed(activation_record, this->hooks.timers.now());
    }
    this->apply();
    if (this->is_running) {
        this->begin_reading();
    }
    const std::vector<part_digest> wanted = this->wanted_parts();
    if (!wanted.empty() && wanted != wanted_before) {
        this->hooks.ask_peers(wanted);
    }
}

std::optional<peer_bundle_state> bundle_follower::answer_peer(const std::vector<part_digest>& wanted) const
{
    const std::optional<activation_snapshot> snapshot = this->activations.snapshot();
    if (!snapshot) {
        return std::nullopt;
    }
    peer_bundle_state state{*snapshot, {}};
    for (const part_digest& digest : wanted) {
        if (const std::string* body = this->store.find(digest)) {
            state.parts.push_back(*body);
        }
    }
    return state;
}

void bundle_follower::apply()
{
    const std::optional<accepted_activation>& accepted = this->activations.in_force();
    if (!accepted) {
        return;
    }
    const activation& source = accepted->content;
    const bool is_done = this->applied && this->applied->source.id == source.id;
    if (is_done || this->refused == source.id) {
        return;
    }
    if (const std::string* manifest = this->store.find(source.manifest)) {
        this->apply_manifest(source, *manifest);
        return;
    }
    this->pin_accepted_parts();
}

void bundle_follower::apply_manifest(const activation& source, const std::string& manifest_body)
{
    try {
        const bundle_manifest manifest = read_manifest(manifest_body);
        if (!missing_parts(manifest, this->store.lookup()).empty()) {
            this->pin_accepted_parts();
            return;
        }
        const std::string approval = sign_off_message(this->settings.trust.deployment, source.manifest);
        const std::size_t signers = count_valid_signers(
            approval, this->activations.in_force()->original.sign_offs, this->settings.trust.keys);
        if (signers < manifest.required_sign_offs) {
            this->refuse(source,
                "it needs " + std::to_string(manifest.required_sign_offs)
                    + " sign-offs by different keys and has " + std::to_string(signers));
            return;
        }
        auto next = std::make_shared<bundle_in_force>();
        next->content = this->assembler.assemble(manifest, this->store.lookup());
        next->source = source;
        this->active_parts = manifest.parts;
        this->active_parts.push_back(source.manifest);
        this->store.keep(this->active_parts);
        for (const part_digest& digest : this->active_parts) {
            this->renewals.note_needed(digest.value(), this->hooks.timers.now());
        }
        this->applied = std::move(next);
        this->refusal.clear();
        this->hooks.on_bundle(this->applied);
    } catch (const error& failure) {
        this->refuse(source, failure.what());
    }
}

void bundle_follower::pin_parts(const bundle_manifest& next, const part_digest& manifest)
{
    std::vector<part_digest> kept = this->active_parts;
    kept.insert(kept.end(), next.parts.begin(), next.parts.end());
    kept.push_back(manifest);
    this->store.keep(kept);
}

void bundle_follower::refuse(const activation& source, const std::string& reason)
{
    this->refused = source.id;
    this->refusal = reason;
    this->hooks.on_event(event_type::bundle_refused, source.operator_name, reason);
}

void bundle_follower::renew_due_records()
{
    if (this->is_log_reachable && this->activations.is_complete() && this->applied) {
        const std::vector<std::string> due =
            this->renewals.due(this->hooks.timers.now(), this->hooks.live_hosts(), max_renewals_per_round);
        for (const std::string& record : due) {
            this->carry(record);
        }
    }
    this->renewal_timer = this->hooks.timers.schedule_after(
        this->settings.renewal_interval, [this] { this->renew_due_records(); });
}

void bundle_follower::carry(const std::string& record)
{
    std::string data;
    if (record == activation_record) {
        const std::optional<activation_snapshot> snapshot = this->activations.snapshot();
        data = snapshot ? encode_record(*snapshot) : "";
    } else if (const std::string* body = this->store.find(part_digest(record))) {
        data = encode_record(bundle_part{part_digest(record), *body});
    }
    if (data.empty()) {
        this->renewals.forget(record);
        return;
    }
    // If the answer is lost, the record stays due until it is read back; a second copy is harmless.
    this->hooks.log.append(
        data, [](log_offset) {},
        [this, held = std::weak_ptr<bool>(this->alive)](const error& failure) {
            if (!held.expired()) {
                this->hooks.on_event(event_type::carry_failed, failure.peer(), failure.what());
            }
        });
}

follower_status bundle_follower::status() const
{
    follower_status status;
    status.known_generation = this->activations.generation();
    status.applied_generation = this->applied ? this->applied->source.generation : generation_number(0);
    status.is_complete = this->activations.is_complete();
    status.is_log_reachable = this->is_log_reachable;
    status.has_reached_head = this->has_reached_head;
    status.next_offset = this->activations.next_offset();
    status.missing_parts = this->wanted_parts().size();
    status.failure = this->refusal;
    return status;
}

} // namespace sailtiller
