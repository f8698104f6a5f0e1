// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sailtiller::tests {

/// A program started by a test; killed when the test ends before it does.
class child_process
{
public:
    child_process(const std::string& program, const std::vector<std::string>& arguments);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// What it has written to its output and error streams so far.
    const std::string& output();
    /// The last lines of that, for the message of a failure.
    std::string last_output();
    /// Its exit code once it has ended; 128 and the signal's number if a signal ended it.
    std::optional<int> exit_code();
    void send_signal(int number) const;
    [[nodiscard]] pid_t id() const { return this->process; }

private:
    pid_t process = 0;
    int pipe_end = -1;
    std::string text;
    std::optional<int> code;
};

} // namespace sailtiller::tests
