// SPDX-License-Identifier: Apache-2.0
#include <directory/upstreamdirectory.h>

#include <set>

namespace sailtiller {

bool upstream_directory::put(const discovered_upstream& upstream, time_point now)
{
    const auto [place, is_new] = this->items.try_emplace(upstream.id);
    directory_entry& entry = place->second;
    entry.is_lapsed = false;
    if (is_new) {
        entry.since = now;
        this->by_address[upstream.address] = upstream.id;
    } else if (entry.upstream == upstream) {
        return false;
    }
    entry.upstream = upstream;
    ++this->changes;
    return true;
}

bool upstream_directory::is_store_disturbed(time_point now) const
{
    return this->last_disturbed && now - *this->last_disturbed < this->lapse_grace;
}

void upstream_directory::drop(const upstream_id& id)
{
    const auto found = this->items.find(id);
    if (found == this->items.end()) {
        return;
    }
    const auto address = this->by_address.find(found->second.upstream.address);
    if (address != this->by_address.end() && address->second == id) {
        this->by_address.erase(address);
    }
    this->items.erase(found);
    ++this->changes;
}

void upstream_directory::remove(const upstream_id& id, time_point now)
{
    const auto found = this->items.find(id);
    if (found == this->items.end()) {
        return;
    }
    if (!this->is_store_disturbed(now)) {
        this->drop(id);
        return;
    }
    found->second.is_lapsed = true;
}

bool upstream_directory::replace(const std::vector<discovered_upstream>& upstreams, time_point now)
{
    const std::uint64_t before = this->changes;
    std::set<upstream_id> listed;
    for (const discovered_upstream& upstream : upstreams) {
        listed.insert(upstream.id);
        this->put(upstream, now);
    }
    std::vector<upstream_id> missing;
    for (const auto& [id, entry] : this->items) {
        if (listed.count(id) == 0) {
            missing.push_back(id);
        }
    }
    for (const upstream_id& id : missing) {
        this->remove(id, now);
    }
    return this->changes != before;
}

bool upstream_directory::drop_lapsed(time_point now)
{
    if (this->is_store_disturbed(now)) {
        return false;
    }
    std::vector<upstream_id> over;
    for (const auto& [id, entry] : this->items) {
        if (entry.is_lapsed) {
            over.push_back(id);
        }
    }
    for (const upstream_id& id : over) {
        this->drop(id);
    }
    return !over.empty();
}

const directory_entry* upstream_directory::find(const upstream_id& id) const
{
    const auto found = this->items.find(id);
    return found == this->items.end() ? nullptr : &found->second;
}

const directory_entry* upstream_directory::find_by_address(const endpoint& address) const
{
    const auto found = this->by_address.find(address);
    return found == this->by_address.end() ? nullptr : this->find(found->second);
}

} // namespace sailtiller
