// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/httpserver.h>

namespace sailtiller::standins {

/// A plain service that tells what it was sent and counts its calls.
class service_standin
{
public:
    void handle(const std::shared_ptr<http_exchange>& exchange);
    [[nodiscard]] std::uint64_t calls() const { return this->call_count; }
    /// The next calls run, and their connections break before the answer.
    void break_answers(std::uint32_t count) { this->answers_to_break = count; }
    /// The next calls are answered with this status instead.
    void answer_with(int status) { this->status = status; }

private:
    std::uint64_t call_count = 0;
    std::uint32_t answers_to_break = 0;
    int status = 200;
};

} // namespace sailtiller::standins
