// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/memorybudget.h>
#include <runtime/connectionentry.h>

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace sailtiller {

/// What a server's connections hold of the host's memory. h2o collects each request before anybody else sees
/// a byte of it, and bounds single ones only; here their sum is counted, and it is found who gives way.
class connection_memory
{
public:
    explicit connection_memory(std::shared_ptr<memory_budget> budget);

    [[nodiscard]] const std::shared_ptr<memory_budget>& budget() const { return this->shared_budget; }
    /// Counts what a connection holds now of requests that are not whole.
    void count(h2o_socket_t& socket, connection_entry& entry, time_point now);
    /// So many bytes of a connection belong to a request that is whole now, and that others count.
    void note_whole_request(connection_entry& entry, std::size_t bytes);
    void forget(connection_entry& entry);
    /// How long the connections may be left uncounted, so that the budget isn't passed by much.
    [[nodiscard]] duration time_to_next_count(std::size_t most_bytes) const;
    /// The connections whose end brings what the host holds down to `most_bytes`. First goes who has held the
    /// most for the longest, so that callers that stand still don't lock out others; small requests stay
    /// while the budget bears them.
    [[nodiscard]] std::vector<h2o_socket_t*> find_excess(
        const std::set<h2o_socket_t*>& connections, std::size_t most_bytes, time_point now) const;

private:
    void set_counted(connection_entry& entry, std::size_t bytes);

    std::shared_ptr<memory_budget> shared_budget;
};

} // namespace sailtiller
