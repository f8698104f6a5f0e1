// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundle.h>

#include <unordered_map>

namespace sailtiller {

/// Finds the client account to which a caller's key belongs.
class account_index
{
public:
    explicit account_index(const bundle& content);

    /// Null if no account has this key.
    [[nodiscard]] const client_account* find_by_key(std::string_view key) const;
    [[nodiscard]] std::size_t size() const { return this->accounts.size(); }

private:
    std::vector<client_account> accounts;
    std::unordered_map<std::string, std::size_t> by_digest;
};

} // namespace sailtiller
