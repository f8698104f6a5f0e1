// SPDX-License-Identifier: Apache-2.0
#include <base/memorybudget.h>

#include <utility>

namespace sailtiller {

bool memory_budget::take(std::size_t bytes)
{
    if (bytes > this->max_bytes - this->held_bytes) {
        return false;
    }
    this->held_bytes += bytes;
    return true;
}

memory_share::memory_share(std::shared_ptr<memory_budget> budget, std::size_t free_bytes)
    : budget(std::move(budget))
    , free_bytes(free_bytes)
{
}

memory_share::~memory_share()
{
    this->release();
}

bool memory_share::grow_to(std::size_t bytes)
{
    const std::size_t counted = bytes > this->free_bytes ? bytes - this->free_bytes : 0;
    if (counted <= this->taken) {
        return true;
    }
    if (!this->budget->take(counted - this->taken)) {
        return false;
    }
    this->taken = counted;
    return true;
}

void memory_share::release()
{
    this->budget->give_back(this->taken);
    this->taken = 0;
}

} // namespace sailtiller
