// SPDX-License-Identifier: Apache-2.0
#include "peerlink.h"

#include <base/error.h>
#include <runtime/eventlog.h>

#include <algorithm>

namespace sailtiller {

namespace {

constexpr duration connect_limit = std::chrono::milliseconds(500);
constexpr duration bundle_answer_limit = std::chrono::seconds(2);
/// A caller waits for its account's home no longer than this; then the host decides alone.
constexpr duration home_answer_limit = std::chrono::milliseconds(100);
/// Peers that are asked at once, so that one that is gone or behind costs nothing.
constexpr std::size_t peers_asked = 3;

} // namespace

peer_link::peer_link(event_loop& loop, host_id self, peer_link_hooks hooks)
    : loop(loop)
    , self(std::move(self))
    , hooks(std::move(hooks))
    , client(loop, connect_limit)
    , server(loop,
          [this](const std::string& method, const std::string& body) { return this->answer(method, body); })
{
}

std::vector<listed_host> peer_link::choose_peers() const
{
    std::vector<listed_host> others = this->hooks.live_hosts();
    std::erase_if(others, [this](const listed_host& host) {
        return host.name == this->self.value() || host.peer_address.value().empty();
    });
    for (std::size_t index = others.size(); index > 1; --index) {
        std::swap(others[index - 1], others[this->hooks.random() % index]);
    }
    std::stable_partition(others.begin(), others.end(),
        [this](const listed_host& host) { return host.data_hall == this->hooks.data_hall; });
    others.resize(std::min(others.size(), peers_asked));
    return others;
}

std::size_t peer_link::ask_for_bundle(const std::vector<part_digest>& missing)
{
    const std::vector<listed_host> chosen = this->choose_peers();
    for (const listed_host& host : chosen) {
        this->client.ask(
            host.peer_address, bundle_query, encode_bundle_query(missing), bundle_answer_limit,
            [this, name = host.name](const std::string& body) { this->take_bundle_answer(name, body); },
            [name = host.name](const peer_failure& failure) {
                log_event(log_level::info, event_type::peer_unreachable,
                    {{"step", "ask for bundle"}, {"peer", name}, {"reason", failure.reason}});
            });
    }
    return chosen.size();
}

void peer_link::take_bundle_answer(const std::string& peer, const std::string& body)
{
    try {
        this->hooks.take_bundle(decode_bundle_state(body));
    } catch (const error& malformed) {
        log_event(log_level::warning, event_type::peer_answer_malformed,
            {{"step", malformed.step()}, {"peer", peer}, {"reason", malformed.reason()}});
    }
}

std::optional<endpoint> peer_link::address_of(const host_id& name) const
{
    for (const listed_host& host : this->hooks.live_hosts()) {
        if (host.name == name.value() && !host.peer_address.value().empty()) {
            return host.peer_address;
        }
    }
    return std::nullopt;
}

void peer_link::query_allocator(const host_id& home, const share_query& question,
    const std::function<void(const std::vector<share_grant>&)>& on_grants,
    const std::function<void()>& on_failure)
{
    if (home == this->self) {
        this->loop.post([this, question, on_grants] { on_grants(this->hooks.answer_wishes(question)); });
        return;
    }
    const std::optional<endpoint> address = this->address_of(home);
    if (!address) {
        this->loop.post(on_failure);
        return;
    }
    this->client.ask(
        *address, share_query_method, encode_share_query(question), home_answer_limit,
        [on_grants, on_failure](const std::string& body) {
            std::vector<share_grant> grants;
            try {
                grants = decode_share_grants(body);
            } catch (const error&) {
                on_failure();
                return;
            }
            on_grants(grants);
        },
        [on_failure](const peer_failure&) { on_failure(); });
}

std::optional<std::string> peer_link::answer(const std::string& method, const std::string& body)
{
    try {
        if (method == share_query_method) {
            return encode_share_grants(this->hooks.answer_wishes(decode_share_query(body)));
        }
        if (method == bundle_query) {
            const std::optional<peer_bundle_state> state = this->hooks.tell_bundle(decode_bundle_query(body));
            return state ? std::optional<std::string>(encode_bundle_state(*state)) : std::nullopt;
        }
    } catch (const error& malformed) {
        log_event(log_level::warning, event_type::peer_question_malformed,
            {{"step", malformed.step()}, {"peer", method}, {"reason", malformed.reason()}});
    }
    return std::nullopt;
}

} // namespace sailtiller
