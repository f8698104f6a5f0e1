// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundle.h>

#include <unordered_map>

namespace sailtiller {

/// Finds the client account to which a caller's key belongs.
class account_index
{
public:
    /// The bundle must outlive the index.
    explicit account_index(const bundle& content);

    /// Null if no account has this key.
    [[nodiscard]] const client_account* find_by_key(std::string_view key) const;
    /// Null if there is no such account.
    [[nodiscard]] const client_account* find_by_name(const client_account_id& name) const;
    [[nodiscard]] std::size_t size() const { return this->by_name.size(); }

private:
    std::unordered_map<std::string_view, const client_account*> by_digest;
    std::unordered_map<client_account_id, const client_account*> by_name;
};

} // namespace sailtiller
