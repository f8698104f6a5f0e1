// SPDX-License-Identifier: Apache-2.0
#include <base/random.h>
#include <fleet/ownership.h>

#include <algorithm>

namespace sailtiller {

namespace {

struct owner_score
{
    std::uint64_t score = 0;
    const host_id* host = nullptr;

    bool operator<(const owner_score& other) const
    {
        return this->score != other.score ? this->score < other.score : *this->host < *other.host;
    }
};

owner_score score_of(std::string_view key, const host_id& host)
{
    return {stable_hash(host.value(), stable_hash(key)), &host};
}

} // namespace

std::vector<host_id> rank_owners(std::string_view key, const std::vector<host_id>& live_hosts)
{
    std::vector<owner_score> scores;
    scores.reserve(live_hosts.size());
    for (const host_id& host : live_hosts) {
        scores.push_back(score_of(key, host));
    }
    std::sort(scores.begin(), scores.end(),
        [](const owner_score& left, const owner_score& right) { return right < left; });
    std::vector<host_id> ranked;
    ranked.reserve(scores.size());
    for (const owner_score& item : scores) {
        ranked.push_back(*item.host);
    }
    return ranked;
}

bool is_among_owners(
    std::string_view key, const std::vector<host_id>& live_hosts, const host_id& self, std::size_t count)
{
    const owner_score own = score_of(key, self);
    std::size_t before = 0;
    for (const host_id& host : live_hosts) {
        before += own < score_of(key, host) ? 1 : 0;
        if (before >= count) {
            return false;
        }
    }
    return true;
}

std::optional<host_id> find_owner(std::string_view key, const std::vector<host_id>& live_hosts)
{
    std::optional<owner_score> best;
    for (const host_id& host : live_hosts) {
        const owner_score item = score_of(key, host);
        if (!best || *best < item) {
            best = item;
        }
    }
    return best ? std::optional<host_id>(*best->host) : std::nullopt;
}

} // namespace sailtiller
