// SPDX-License-Identifier: Apache-2.0
#include <base/memorybudget.h>

#include <utility>

namespace sailtiller {

bool memory_budget::take_within(std::size_t limit, std::size_t bytes)
{
    if (this->held_bytes > limit || bytes > limit - this->held_bytes) {
        return false;
    }
    this->held_bytes += bytes;
    return true;
}

memory_share::memory_share(std::shared_ptr<memory_budget> budget)
    : budget(std::move(budget))
{
}

memory_share::~memory_share()
{
    this->release();
}

bool memory_share::grow_to(std::size_t bytes)
{
    if (bytes <= this->taken) {
        return true;
    }
    const std::size_t more = bytes - this->taken;
    const bool is_small = bytes <= small_share_bytes;
    if (!(is_small ? this->budget->take_small(more) : this->budget->take(more))) {
        return false;
    }
    this->taken = bytes;
    return true;
}

void memory_share::set(std::size_t bytes)
{
    this->budget->add(bytes);
    this->budget->give_back(this->taken);
    this->taken = bytes;
}

} // namespace sailtiller
