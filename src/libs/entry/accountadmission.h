// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundle.h>

#include <unordered_map>

namespace sailtiller {

/// Why a request is not admitted, and when to come again.
struct admission_refusal
{
    std::string code; ///< "too_many_streams" or "too_many_requests"
    duration retry_after{};
};

/// Holds the requests of each client account on this host within this host's share of the account's limits.
/// The limits are for the whole fleet; each live host takes an even share of them, and at least one.
class account_admission
{
public:
    void set_live_hosts(std::size_t count) { this->live_hosts = count == 0 ? 1 : count; }

    /// Takes one request in, or says why not.
    std::optional<admission_refusal> admit(const client_account& account, time_point now);
    /// A request that was taken in has ended.
    void finish(const client_account_id& account);
    [[nodiscard]] std::size_t tracked_accounts() const { return this->accounts.size(); }

private:
    struct usage
    {
        std::uint32_t streams = 0;
        double tokens = 0.0; ///< requests that may start now
        time_point refilled_at{};
        bool is_new = true;
    };

    bool take_request(usage& used, double requests_per_second, time_point now) const;

    std::size_t live_hosts = 1;
    std::unordered_map<client_account_id, usage> accounts;
};

} // namespace sailtiller
