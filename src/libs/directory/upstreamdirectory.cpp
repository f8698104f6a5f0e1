// SPDX-License-Identifier: Apache-2.0
#include <directory/upstreamdirectory.h>

#include <set>

namespace sailtiller {

namespace {

/// Time for which ended starts are kept. Their late entries arrive within seconds; the limit bounds memory.
constexpr duration ended_start_retention = std::chrono::seconds(60);

} // namespace

bool upstream_directory::put(const discovered_upstream& upstream, time_point now)
{
    if (this->is_superseded(upstream)) {
        return false;
    }
    const auto known = this->items.find(upstream.id);
    if (known != this->items.end() && known->second.upstream == upstream) {
        known->second.is_lapsed = false;
        return false;
    }
    const bool is_new = known == this->items.end();
    const bool is_moved = !is_new && known->second.upstream.address != upstream.address;
    if (is_moved) {
        this->release_address(known->second.upstream, now);
    }
    const std::vector<upstream_id> ended =
        is_new || is_moved ? this->claim_address(upstream, now) : std::vector<upstream_id>();
    directory_entry& entry = this->items[upstream.id];
    entry.since = is_new ? now : entry.since;
    entry.is_lapsed = false;
    entry.upstream = upstream;
    ++this->changes;
    this->notify_superseded(ended);
    return true;
}

bool upstream_directory::set_leaving(const upstream_id& id)
{
    const auto found = this->items.find(id);
    if (found == this->items.end() || found->second.upstream.is_leaving) {
        return false;
    }
    found->second.upstream.is_leaving = true;
    ++this->changes;
    return true;
}

bool upstream_directory::is_superseded(const discovered_upstream& upstream) const
{
    const directory_entry* same_name = this->find_by_name(upstream_name(upstream.id));
    if (same_name != nullptr && is_older_start(upstream.born, same_name->upstream.born)) {
        return true;
    }
    const auto found = this->by_address.find({upstream.service, upstream.address});
    if (found == this->by_address.end()) {
        return false;
    }
    const address_owner& owner = found->second;
    return is_older_start(upstream.born, owner.born) || owner.superseded.count(upstream.id) != 0;
}

bool upstream_directory::is_newer_start(
    const discovered_upstream& upstream, const address_owner& owner, time_point now)
{
    if (upstream.born && owner.born) {
        return is_older_start(owner.born, upstream.born);
    }
    return owner.first_seen < now;
}

std::vector<upstream_id> upstream_directory::claim_address(
    const discovered_upstream& upstream, time_point now)
{
    std::vector<upstream_id> ended;
    const directory_entry* same_name = this->find_by_name(upstream_name(upstream.id));
    if (same_name != nullptr && same_name->upstream.id != upstream.id) {
        ended.push_back(same_name->upstream.id);
    }
    const auto [found, is_free] = this->by_address.try_emplace({upstream.service, upstream.address});
    address_owner& owner = found->second;
    if (!is_free && owner.id != upstream.id && is_newer_start(upstream, owner, now)) {
        owner.superseded[owner.id] = now;
        const bool is_listed = !owner.released_at;
        if (is_listed && (same_name == nullptr || same_name->upstream.id != owner.id)) {
            ended.push_back(owner.id);
        }
    }
    for (const upstream_id& id : ended) {
        this->drop(id, now);
    }
    owner.id = upstream.id;
    owner.born = upstream.born;
    owner.first_seen = now;
    owner.released_at.reset();
    this->by_name[upstream_name(upstream.id)] = upstream.id;
    return ended;
}

void upstream_directory::notify_superseded(const std::vector<upstream_id>& ended) const
{
    for (const upstream_id& id : ended) {
        if (this->on_superseded) {
            this->on_superseded(id);
        }
    }
}

void upstream_directory::mark_superseded(const upstream_id& id, time_point now)
{
    const auto found = this->items.find(id);
    if (found == this->items.end()) {
        return;
    }
    const service_address at{found->second.upstream.service, found->second.upstream.address};
    this->drop(id, now);
    this->by_address[at].superseded[id] = now;
    this->notify_superseded({id});
}

bool upstream_directory::is_store_disturbed(time_point now) const
{
    return this->last_disturbed && now - *this->last_disturbed < this->lapse_grace;
}

void upstream_directory::drop(const upstream_id& id, time_point now)
{
    const auto found = this->items.find(id);
    if (found == this->items.end()) {
        return;
    }
    this->release_address(found->second.upstream, now);
    const auto name = this->by_name.find(upstream_name(id));
    if (name != this->by_name.end() && name->second == id) {
        this->by_name.erase(name);
    }
    this->items.erase(found);
    ++this->changes;
}

void upstream_directory::release_address(const discovered_upstream& upstream, time_point now)
{
    const auto owner = this->by_address.find({upstream.service, upstream.address});
    if (owner != this->by_address.end() && owner->second.id == upstream.id) {
        owner->second.released_at = now;
    }
}

void upstream_directory::remove_expired_starts(time_point now)
{
    const auto is_expired = [now](time_point moment) { return now - moment >= ended_start_retention; };
    for (auto& [at, owner] : this->by_address) {
        std::erase_if(owner.superseded, [&](const auto& item) { return is_expired(item.second); });
    }
    std::erase_if(this->by_address,
        [&](const auto& item) { return item.second.released_at && is_expired(*item.second.released_at); });
}

void upstream_directory::remove(const upstream_id& id, time_point now)
{
    const auto found = this->items.find(id);
    if (found == this->items.end()) {
        return;
    }
    if (!this->is_store_disturbed(now)) {
        this->drop(id, now);
        return;
    }
    found->second.is_lapsed = true;
}

bool upstream_directory::replace(const std::vector<discovered_upstream>& upstreams, time_point now)
{
    const std::uint64_t before = this->changes;
    // Compared by name, as the entry of an older start does not remove the newest one of that name.
    std::set<std::string> listed;
    for (const discovered_upstream& upstream : upstreams) {
        listed.insert(upstream_name(upstream.id));
        this->put(upstream, now);
    }
    std::vector<upstream_id> missing;
    for (const auto& [id, entry] : this->items) {
        if (listed.count(upstream_name(id)) == 0) {
            missing.push_back(id);
        }
    }
    for (const upstream_id& id : missing) {
        this->remove(id, now);
    }
    return this->changes != before;
}

std::vector<upstream_id> upstream_directory::drop_lapsed(time_point now)
{
    this->remove_expired_starts(now);
    std::vector<upstream_id> expired;
    if (this->is_store_disturbed(now)) {
        return expired;
    }
    for (const auto& [id, entry] : this->items) {
        if (entry.is_lapsed) {
            expired.push_back(id);
        }
    }
    for (const upstream_id& id : expired) {
        this->drop(id, now);
    }
    return expired;
}

const directory_entry* upstream_directory::find(const upstream_id& id) const
{
    const auto found = this->items.find(id);
    return found == this->items.end() ? nullptr : &found->second;
}

const directory_entry* upstream_directory::find_by_name(const std::string& name) const
{
    const auto found = this->by_name.find(name);
    return found == this->by_name.end() ? nullptr : this->find(found->second);
}

const directory_entry* upstream_directory::find_at(const service_id& service, const endpoint& address) const
{
    const auto found = this->by_address.find({service, address});
    const bool is_there = found != this->by_address.end() && !found->second.released_at;
    return is_there ? this->find(found->second.id) : nullptr;
}

} // namespace sailtiller
