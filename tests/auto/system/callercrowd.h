// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <cstddef>
#include <string>
#include <vector>

namespace sailtiller::tests {

/// What each caller of a crowd sends over its connection: a head, then `unit` again and again until
/// `unit_bytes` bytes of it are sent, then a tail. "{n}" in the head stands for the caller's number.
struct caller_script
{
    std::string head;
    std::string unit{};
    std::size_t unit_bytes = 0;
    std::string tail{};
};

/// Callers that send without waiting, each over a connection of its own, and keep it open until the crowd
/// goes.
class caller_crowd
{
public:
    caller_crowd(const endpoint& target, std::size_t count, const caller_script& script);
    ~caller_crowd();
    caller_crowd(const caller_crowd&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;

    /// Sends and reads what the connections take now; true if any byte has moved.
    bool exchange_bytes();
    /// Without it, callers leave their answers unread.
    void set_reading(bool is_reading) { this->is_reading = is_reading; }
    /// Whatever each caller has read, by its number.
    [[nodiscard]] const std::vector<std::string>& answers() const { return this->received; }
    /// Status of the first answer that a caller has read, 0 without one.
    [[nodiscard]] int status_of(std::size_t number) const;
    /// True if the other side has reset the caller's connection.
    [[nodiscard]] bool was_reset(std::size_t number) const { return this->members[number].was_reset; }

private:
    struct member
    {
        int descriptor = -1;
        std::string head;
        std::size_t sent = 0;
        bool was_reset = false;
    };

    bool send_some(member& item);
    bool read_some(std::size_t number);

    caller_script script;
    std::vector<member> members;
    std::vector<std::string> received;
    bool is_reading = true;
};

} // namespace sailtiller::tests
