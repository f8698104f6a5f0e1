// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <memory>

namespace sailtiller {

/// Bytes that may be held at a time for one purpose, by all that hold any.
class memory_budget
{
public:
    explicit memory_budget(std::size_t max_bytes)
        : max_bytes(max_bytes)
    {
    }

    /// Takes bytes of the budget; false, and nothing is taken, if fewer are left.
    [[nodiscard]] bool take(std::size_t bytes);
    void give_back(std::size_t bytes) { this->held_bytes -= bytes; }
    [[nodiscard]] std::size_t held() const { return this->held_bytes; }

private:
    std::size_t max_bytes;
    std::size_t held_bytes = 0;
};

/// What one holder has of a budget; given back with it.
class memory_share
{
public:
    /// The first `free_bytes` don't count, so that small ones are held whatever large ones take. At the end
    /// of a process timers may hold a share longer than anything holds the budget, so each share keeps it.
    memory_share(std::shared_ptr<memory_budget> budget, std::size_t free_bytes);
    ~memory_share();
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;

    /// Grows the share to that of `bytes`; false, and nothing changes, if the budget has no room for them.
    [[nodiscard]] bool grow_to(std::size_t bytes);
    void release();

private:
    std::shared_ptr<memory_budget> budget;
    std::size_t free_bytes;
    std::size_t taken = 0;
};

} // namespace sailtiller
