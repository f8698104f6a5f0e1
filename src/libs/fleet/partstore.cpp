// SPDX-License-Identifier: Apache-2.0
#include <bundle/digest.h>
#include <fleet/partstore.h>

namespace sailtiller {

part_store::part_store(std::size_t max_unpinned_bytes)
    : max_unpinned_bytes(max_unpinned_bytes)
{
}

void part_store::add(const std::string& body)
{
    const part_digest digest = digest_of(body);
    if (!this->bodies.emplace(digest, body).second) {
        return;
    }
    this->total_bytes += body.size();
    this->pinned_bytes += this->kept.contains(digest) ? body.size() : 0;
    this->order.push_back(digest);
    this->evict_oldest_unpinned();
}

const std::string* part_store::find(const part_digest& digest) const
{
    const auto found = this->bodies.find(digest);
    return found == this->bodies.end() ? nullptr : &found->second;
}

void part_store::keep(const std::vector<part_digest>& digests)
{
    this->kept = std::set<part_digest>(digests.begin(), digests.end());
    this->pinned_bytes = 0;
    for (const part_digest& digest : this->kept) {
        const std::string* body = this->find(digest);
        this->pinned_bytes += body == nullptr ? 0 : body->size();
    }
    this->evict_oldest_unpinned();
}

void part_store::evict_oldest_unpinned()
{
    std::size_t examined = 0;
    const std::size_t max_examined = this->order.size();
    while (this->total_bytes - this->pinned_bytes > this->max_unpinned_bytes && examined < max_examined) {
        const part_digest oldest = this->order.front();
        this->order.pop_front();
        ++examined;
        if (this->kept.contains(oldest)) {
            this->order.push_back(oldest);
            continue;
        }
        const auto found = this->bodies.find(oldest);
        this->total_bytes -= found->second.size();
        this->bodies.erase(found);
    }
}

part_lookup part_store::lookup() const
{
    return [this](const part_digest& digest) { return this->find(digest); };
}

} // namespace sailtiller
