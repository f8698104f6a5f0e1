// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/random.h>
#include <base/timerqueue.h>
#include <fleet/peerreport.h>
#include <site/transferbudget.h>

#include <map>

namespace sailtiller {

/// Times and bounds of the exchange.
struct bundle_exchange_settings
{
    /// Bytes of bundles that a host gives in one interval, at the least one bundle: about half of the
    /// smallest link that hosts have (20 Mbit/s), so that answers to callers keep the other half. The holders
    /// double in each interval, so a bundle reaches 400 hosts in nine.
    std::size_t max_bytes_per_interval = std::size_t{128} * 1024;
    duration budget_interval = std::chrono::milliseconds(100);
    /// Pause after a host that could not give its bundle.
    duration retry_pause = std::chrono::milliseconds(100);
    /// Longer than any text that the store takes; guards against malformed bytes of a peer.
    std::size_t max_text_bytes = std::size_t{64} * 1024 * 1024;
};

/// What the exchange needs from outside.
struct bundle_exchange_hooks
{
    timer_hooks timers;
    random_function random;
    /// The version in force here; 0 without one.
    std::function<std::uint64_t()> own_version;
    /// The text in force here.
    std::function<const std::string&()> own_text;
    /// Asks a host for its bundle; it gives packed text, or nothing.
    std::function<void(const known_host&, std::function<void(const std::optional<std::string>&)>)> ask;
    /// Takes the text of a bundle that this host had.
    std::function<void(const known_host&, const std::string&)> take;
    /// Tells about bytes that can't be unpacked.
    std::function<void(const known_host&, const std::string& reason)> on_malformed;
};

/// How a bundle gets from host to host. Reports tell versions alone; whoever hears of a newer one asks one
/// holder at a time for it, packed, and a holder gives only so many bytes at a time. When every answer to an
/// older host carried the text, eight answers at once took 2 s of a 20 Mbit/s link, none came within the 0.6
/// s that reports wait, and such hosts never got the bundle: 8 of 59 hosts, when 1,400 routes were added.
class bundle_exchange
{
public:
    bundle_exchange(bundle_exchange_settings settings, bundle_exchange_hooks hooks);

    /// A host told that it has this version.
    void record_holder(const known_host& holder, std::uint64_t version);
    /// What one who asks gets: the bundle, packed; nothing if there is none, or enough was given for now.
    std::optional<std::string> give();

private:
    void fetch();
    void take_answer(const known_host& holder, const std::optional<std::string>& packed);
    /// Hosts that have a newer bundle than this one; others are forgotten.
    void drop_outdated_holders();
    const std::string& packed_text();

    bundle_exchange_settings settings;
    bundle_exchange_hooks hooks;
    /// One that told of a bundle, and of which version.
    struct holder_entry
    {
        known_host host;
        std::uint64_t version = 0;
    };
    std::map<host_id, holder_entry> holders;
    bool is_fetching = false; ///< or waiting for the next try
    std::string packed; ///< of `packed_version`
    std::uint64_t packed_version = 0;
    transfer_budget budget;
};

} // namespace sailtiller
