// SPDX-License-Identifier: Apache-2.0
#include <bundle/digest.h>
#include <routing/accountindex.h>

namespace sailtiller {

account_index::account_index(const bundle& content)
{
    for (const client_account& account : content.accounts) {
        this->by_name.emplace(account.name, &account);
        for (const std::string& digest : account.key_digests) {
            this->by_digest.emplace(digest, &account);
        }
    }
}

const client_account* account_index::find_by_key(std::string_view key) const
{
    // The look-up is by digest, which a caller cannot choose; the final comparison takes constant time.
    const std::string digest = key_digest_of(key);
    const auto found = this->by_digest.find(digest);
    if (found == this->by_digest.end() || !is_equal_in_constant_time(found->first, digest)) {
        return nullptr;
    }
    return found->second;
}

const client_account* account_index::find_by_name(const client_account_id& name) const
{
    const auto found = this->by_name.find(name);
    return found == this->by_name.end() ? nullptr : found->second;
}

} // namespace sailtiller
