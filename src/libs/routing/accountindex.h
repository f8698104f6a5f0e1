// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundle.h>

#include <unordered_map>

namespace sailtiller {

/// Index of a bundle's client accounts by API key and by name.
class account_index
{
public:
    /// The index refers to `content`, which must outlive it.
    explicit account_index(const bundle& content);

    /// Returns the account with this API key, or null.
    [[nodiscard]] const client_account* find_by_key(std::string_view key) const;
    /// Returns the account with this name, or null.
    [[nodiscard]] const client_account* find_by_name(const client_account_id& name) const;
    [[nodiscard]] std::size_t size() const { return this->by_name.size(); }

private:
    std::unordered_map<std::string_view, const client_account*> by_digest;
    std::unordered_map<client_account_id, const client_account*> by_name;
};

} // namespace sailtiller
