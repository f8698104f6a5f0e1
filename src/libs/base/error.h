// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <stdexcept>
#include <string>

namespace sailtiller {

/// The step at which an error arose, and the other side of that step.
struct error_origin
{
    std::string step; ///< what was being done, as "read log" or "connect upstream"
    std::string peer; ///< the process or file on the other side; empty if there is none
};

/// The base of every exception that sailtiller throws: a reason with the step and the peer at which it arose.
class error : public std::runtime_error
{
public:
    error(error_origin origin, const std::string& reason);

    [[nodiscard]] const std::string& step() const { return this->origin.step; }
    [[nodiscard]] const std::string& peer() const { return this->origin.peer; }
    [[nodiscard]] const std::string& reason() const { return this->plain_reason; }

private:
    error_origin origin;
    std::string plain_reason;
};

} // namespace sailtiller
