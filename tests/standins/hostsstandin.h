// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/httpserver.h>

namespace sailtiller::standins {

/// The platform's list of hosts: gives back the text that was last put.
class hosts_standin
{
public:
    void handle(const std::shared_ptr<http_exchange>& exchange);
    void set_list(std::string body) { this->list = std::move(body); }
    /// How often the whole list was sent.
    [[nodiscard]] std::uint64_t sent_whole() const { return this->whole_answers; }

private:
    std::uint64_t whole_answers = 0;
    std::string list = R"({"hosts":[]})";
};

} // namespace sailtiller::standins
