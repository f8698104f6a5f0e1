// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <string>
#include <string_view>

namespace sailtiller::tests {

/// A plain connection, over which a test sends a request part by part.
class raw_connection
{
public:
    explicit raw_connection(const endpoint& address);
    ~raw_connection();
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    [[nodiscard]] bool is_connected() const { return this->connected; }
    void write(std::string_view bytes) const;
    /// Takes what has come; true once the other side has closed.
    bool read_to_end();
    [[nodiscard]] const std::string& text() const { return this->received; }

private:
    int descriptor = -1;
    bool connected = false;
    std::string received;
};

} // namespace sailtiller::tests
