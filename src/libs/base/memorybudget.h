// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <memory>

namespace sailtiller {

/// What one holder may have of a budget and still count as small: more than most messages have.
constexpr std::size_t small_share_bytes = std::size_t{64} << 10U;

/// Bytes that may be held at a time by all that hold any. Every byte counts; the last part of the budget is
/// left to small holders, so that large ones can't lock them out.
class memory_budget
{
public:
    /// Large holders may bring the sum to `max_bytes` less `small_bytes`.
    explicit memory_budget(std::size_t max_bytes, std::size_t small_bytes = 0)
        : most_bytes(max_bytes)
        , most_large_bytes(max_bytes - small_bytes)
    {
    }

    /// Takes bytes for a large holder; false, and nothing is taken, if fewer are left for it.
    [[nodiscard]] bool take(std::size_t bytes) { return this->take_within(this->most_large_bytes, bytes); }
    /// Takes bytes for a small holder; false, and nothing is taken, if fewer are left.
    [[nodiscard]] bool take_small(std::size_t bytes) { return this->take_within(this->most_bytes, bytes); }
    /// Counts bytes that are held already, whether there is room for them or not.
    void add(std::size_t bytes) { this->held_bytes += bytes; }
    void give_back(std::size_t bytes) { this->held_bytes -= bytes; }
    [[nodiscard]] std::size_t held() const { return this->held_bytes; }
    [[nodiscard]] std::size_t max_bytes() const { return this->most_bytes; }

private:
    [[nodiscard]] bool take_within(std::size_t limit, std::size_t bytes);

    std::size_t most_bytes;
    std::size_t most_large_bytes;
    std::size_t held_bytes = 0;
};

/// What one holder has of a budget; given back with it.
class memory_share
{
public:
    /// At the end of a process timers may hold a share longer than anything holds the budget, so each share
    /// keeps it.
    explicit memory_share(std::shared_ptr<memory_budget> budget);
    ~memory_share();
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;

    /// Grows the share to that of `bytes`; false, and nothing changes, if the budget has no room for them.
    [[nodiscard]] bool grow_to(std::size_t bytes);
    /// Makes it the share of `bytes`, which are held already, whether there is room for them or not.
    void set(std::size_t bytes);
    void release() { this->set(0); }

private:
    std::shared_ptr<memory_budget> budget;
    std::size_t taken = 0;
};

} // namespace sailtiller
