// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <fleet/bundlemessages.h>
#include <fleet/sharemessages.h>
#include <logservice/hostlist.h>
#include <runtime/peerclient.h>
#include <runtime/peerserver.h>

#include <base/random.h>

namespace sailtiller {

/// What a peer link asks of the rest of its host.
struct peer_link_hooks
{
    random_function random;
    data_hall_id data_hall; ///< peers in the same hall are asked first
    std::function<const std::vector<listed_host>&()> live_hosts;
    std::function<std::vector<share_grant>(const share_query&)> answer_wishes;
    std::function<std::optional<peer_bundle_state>(const std::vector<part_digest>&)> tell_bundle;
    std::function<void(const peer_bundle_state&)> take_bundle;
};

/// This host's questions to other hosts, and its answers to theirs.
class peer_link
{
public:
    peer_link(event_loop& loop, host_id self, peer_link_hooks hooks);

    /// Throws `error` if the address can't be listened on.
    endpoint listen(const endpoint& address) { return this->server.listen(address); }
    /// Asks some peers for the bundle in force and for parts. Returns how many were asked.
    std::size_t ask_for_bundle(const std::vector<part_digest>& missing);
    /// Asks an account's home for a share; the home may be this host.
    void query_allocator(const host_id& home, const share_query& question,
        const std::function<void(const std::vector<share_grant>&)>& on_grants,
        const std::function<void()>& on_failure);

private:
    [[nodiscard]] std::vector<listed_host> choose_peers() const;
    [[nodiscard]] std::optional<endpoint> address_of(const host_id& name) const;
    std::optional<std::string> answer(const std::string& method, const std::string& body);
    void take_bundle_answer(const std::string& peer, const std::string& body);

    event_loop& loop;
    host_id self;
    peer_link_hooks hooks;
    peer_client client;
    peer_server server;
};

} // namespace sailtiller
