// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <memory>
#include <string>
#include <vector>

namespace sailtiller::tests {

/// Callers over HTTP/2 by prior knowledge, each with many requests at once whose bodies never end. They keep
/// to the windows that they are given.
class stream_crowd
{
public:
    stream_crowd(
        const endpoint& target, std::size_t connections, std::size_t streams, std::size_t body_bytes);
    ~stream_crowd();
    stream_crowd(const stream_crowd&) = delete;
    stream_crowd& operator=(const stream_crowd&) = delete;

    /// Sends and reads what the connections take now; true if any byte has moved.
    bool exchange_bytes();

private:
    struct connection;
    std::vector<std::unique_ptr<connection>> connections;
};

/// What opens a connection over HTTP/2 and begins a header block, in a frame that says that more of it
/// follows.
std::string endless_header_block_begin();
/// One frame that goes on with that block.
std::string header_block_continuation();

} // namespace sailtiller::tests
