// SPDX-License-Identifier: Apache-2.0
#include <base/random.h>
#include <fleet/membership.h>

#include <algorithm>

namespace sailtiller {

namespace {

/// In a smaller fleet there may be no second host to confirm that a host is down.
constexpr std::size_t hosts_for_two_words = 4;

std::uint64_t digest_of(const host_state& state)
{
    const std::uint64_t flags = (state.is_leaving ? 2U : 0U) + (state.reads_store ? 1U : 0U);
    return stable_hash(state.host.id.value(), state.incarnation.value() * 4 + flags);
}

} // namespace

membership::membership(known_host self, membership_settings settings)
    : settings(settings)
{
    this->own_state.host = std::move(self);
    this->tell(this->own_state.host.id);
}

void membership::note_change()
{
    ++this->changes;
    this->known_digest.reset();
}

void membership::tell(const host_id& id)
{
    const auto queued = std::find_if(this->pending.begin(), this->pending.end(),
        [&id](const pending_update& item) { return item.id == id; });
    if (queued != this->pending.end()) {
        queued->transmissions_left = this->settings.max_transmissions;
        return;
    }
    this->pending.push_back({id, this->settings.max_transmissions});
}

void membership::add(const known_host& host)
{
    if (host.id == this->own_state.host.id) {
        return;
    }
    const auto [place, is_new] = this->members.try_emplace(host.id);
    if (is_new) {
        place->second.state.host = host;
        this->note_change();
    }
}

std::size_t membership::confirmations_needed() const
{
    return this->members.size() + 1 >= hosts_for_two_words ? this->settings.confirmations_needed : 1;
}

bool membership::merge_unreachable_from(member& item, const std::vector<host_id>& unreachable_from) const
{
    bool is_any_new = false;
    std::vector<host_id>& known = item.state.unreachable_from;
    for (const host_id& word : unreachable_from) {
        const bool is_new = std::find(known.begin(), known.end(), word) == known.end();
        if (is_new && known.size() < this->settings.confirmations_needed) {
            known.push_back(word);
            is_any_new = true;
        }
    }
    return is_any_new;
}

void membership::update_liveness(member& item, time_point now)
{
    const bool is_gone = item.state.unreachable_from.size() >= this->confirmations_needed();
    if (is_gone == item.down_since.has_value()) {
        return;
    }
    item.down_since = is_gone ? std::optional(now) : std::nullopt;
    this->note_change();
}

void membership::take(const host_state& news, propagation use, time_point now)
{
    const host_id& id = news.host.id;
    if (id == this->own_state.host.id) {
        if (news.incarnation > this->own_state.incarnation
            || (news.incarnation == this->own_state.incarnation && !news.unreachable_from.empty())) {
            this->refute(news.incarnation);
        }
        return;
    }
    const auto found = this->members.find(id);
    const bool is_new = found == this->members.end();
    if (is_new && news.unreachable_from.size() >= this->confirmations_needed()) {
        return; // it has been removed
    }
    member& item = is_new ? this->members[id] : found->second;
    if (!is_new && news.incarnation < item.state.incarnation) {
        return;
    }
    if (is_new || news.incarnation > item.state.incarnation) {
        item.state = news;
        this->note_change();
    } else if (!this->merge_unreachable_from(item, news.unreachable_from)) {
        return;
    }
    this->update_liveness(item, now);
    if (use == propagation::forwarded) {
        this->tell(id);
    }
}

void membership::record_report(const peer_report& report, time_point now)
{
    host_state news;
    news.host = report.sender;
    news.incarnation = report.incarnation;
    news.is_leaving = report.is_leaving;
    const auto before = this->members.find(report.sender.id);
    // `reads_store` is taken from the host's state only, as few hosts report it.
    news.reads_store = before == this->members.end() || before->second.state.reads_store;
    this->take(news, propagation::forwarded, now);
    const auto known = this->members.find(report.sender.id);
    if (known != this->members.end()) {
        known->second.state.host = report.sender;
        known->second.heard = report.incarnation;
    }
}

void membership::note_unreachable(const host_id& id, time_point now)
{
    const auto found = this->members.find(id);
    if (found == this->members.end()) {
        return;
    }
    if (this->merge_unreachable_from(found->second, {this->own_state.host.id})) {
        this->update_liveness(found->second, now);
        this->tell(id);
    }
}

void membership::refute(incarnation_number told)
{
    this->own_state.incarnation = incarnation_number(std::max(told, this->own_state.incarnation).value());
    this->renew_own_state();
}

void membership::renew_own_state()
{
    this->own_state.incarnation = incarnation_number(this->own_state.incarnation.value() + 1);
    this->note_change();
    this->tell(this->own_state.host.id);
}

bool membership::is_reader_candidate() const
{
    std::size_t before = 0;
    for (const auto& [id, item] : this->members) {
        if (id > this->own_state.host.id || before >= this->settings.reader_candidates) {
            break;
        }
        before += item.down_since || !item.state.reads_store ? 0 : 1;
    }
    return before < this->settings.reader_candidates;
}

void membership::set_own_state(bool is_leaving, bool reads_store)
{
    const bool is_store_told = reads_store || !this->own_state.reads_store || this->is_reader_candidate();
    const bool told_reads_store = is_store_told ? reads_store : this->own_state.reads_store;
    if (is_leaving == this->own_state.is_leaving && told_reads_store == this->own_state.reads_store) {
        return;
    }
    this->own_state.is_leaving = is_leaving;
    this->own_state.reads_store = told_reads_store;
    this->renew_own_state();
}

void membership::forget(const host_id& id)
{
    if (this->members.erase(id) > 0) {
        this->note_change();
    }
}

void membership::remove_expired_down(time_point now)
{
    std::erase_if(this->members, [this, now](const auto& item) {
        return item.second.down_since && now - *item.second.down_since > this->settings.forget_timeout;
    });
}

std::vector<host_state> membership::next_updates(const host_id& receiver)
{
    std::vector<host_state> news;
    const auto known = this->members.find(receiver);
    if (known != this->members.end()) {
        // Lets the receiver refute what others assume of it.
        const member& item = known->second;
        if (!item.state.unreachable_from.empty() || item.state.is_leaving
            || item.heard < item.state.incarnation) {
            news.push_back(item.state);
        }
    }
    for (std::size_t left = this->pending.size(); left > 0 && news.size() < this->settings.max_per_report;
         --left) {
        pending_update next = this->pending.front();
        this->pending.pop_front();
        const auto found = this->members.find(next.id);
        const bool is_own = next.id == this->own_state.host.id;
        if (!is_own && found == this->members.end()) {
            continue;
        }
        if (next.id != receiver) {
            news.push_back(is_own ? this->own_state : found->second.state);
        }
        if (--next.transmissions_left > 0) {
            this->pending.push_back(next);
        }
    }
    return news;
}

std::vector<host_state> membership::list_all() const
{
    std::vector<host_state> all = {this->own_state};
    all.reserve(this->members.size() + 1);
    for (const auto& [id, item] : this->members) {
        all.push_back(item.state);
    }
    return all;
}

std::uint64_t membership::digest() const
{
    if (!this->known_digest) {
        std::uint64_t sum = digest_of(this->own_state);
        for (const auto& [id, item] : this->members) {
            sum ^= item.down_since ? 0 : digest_of(item.state);
        }
        this->known_digest = sum;
    }
    return *this->known_digest;
}

bool membership::note_digest(std::uint64_t other, time_point now)
{
    if (other == 0 || other == this->digest() || !this->agreed) {
        this->agreed = now;
        return false;
    }
    if (now - *this->agreed < this->settings.agreement_limit) {
        return false;
    }
    this->agreed = now;
    return true;
}

} // namespace sailtiller
