// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/random.h>
#include <base/timerqueue.h>
#include <fleet/peerreport.h>
#include <site/transferbudget.h>

#include <map>

namespace sailtiller {

/// Intervals and limits of the exchange.
struct bundle_exchange_settings
{
    /// Bytes of bundles that a host sends per interval; one bundle is always sent. About half of the slowest
    /// link of a host (20 Mbit/s), so that answers to callers keep the other half. The number of holders
    /// doubles in each interval, so a bundle reaches 400 hosts in nine.
    std::size_t max_bytes_per_interval = std::size_t{128} * 1024;
    duration budget_interval = std::chrono::milliseconds(100);
    /// Delay after a host could not send its bundle.
    duration retry_pause = std::chrono::milliseconds(100);
    /// Larger than any text that the store accepts; guards against malformed data from a peer.
    std::size_t max_text_bytes = std::size_t{64} * 1024 * 1024;
};

/// Callbacks of the exchange.
struct bundle_exchange_hooks
{
    timer_hooks timers;
    random_function random;
    /// Returns the version in force on this host; 0 without a bundle.
    std::function<std::uint64_t()> own_version;
    /// Returns the text in force on this host.
    std::function<const std::string&()> own_text;
    /// Requests the bundle of a host; the callback gets the compressed text, or nothing.
    std::function<void(const known_host&, std::function<void(const std::optional<std::string>&)>)> ask;
    /// Called with the text of a bundle received from a host.
    std::function<void(const known_host&, const std::string&)> take;
    /// Called for data that can't be decompressed.
    std::function<void(const known_host&, const std::string& reason)> on_malformed;
};

/// Distributes bundles between hosts. Reports contain only versions; a host that receives a newer version
/// requests the compressed bundle from one holder at a time, and a holder limits the bytes it sends per
/// interval. When every answer to an outdated host carried the text, eight answers at once took 2 s of a 20
/// Mbit/s link, none arrived within the 0.6 s that reports wait, and such hosts never got the bundle: 8 of 59
/// hosts, when 1,400 routes were added.
class bundle_exchange
{
public:
    bundle_exchange(bundle_exchange_settings settings, bundle_exchange_hooks hooks);

    /// Records that a host reported this version.
    void record_holder(const known_host& holder, std::uint64_t version);
    /// Returns the compressed bundle for a peer; nothing if there is none or the budget of the interval is
    /// used up.
    std::optional<std::string> make_answer();

private:
    void fetch();
    void take_answer(const known_host& holder, const std::optional<std::string>& packed);
    /// Drops holders whose bundle is not newer than the one of this host.
    void drop_outdated_holders();
    const std::string& packed_text();

    bundle_exchange_settings settings;
    bundle_exchange_hooks hooks;
    /// A host and the bundle version that it reported.
    struct holder_entry
    {
        known_host host;
        std::uint64_t version = 0;
    };
    std::map<host_id, holder_entry> holders;
    bool is_fetching = false; ///< also while waiting for the next attempt
    std::string packed; ///< compressed text of `packed_version`
    std::uint64_t packed_version = 0;
    transfer_budget budget;
};

} // namespace sailtiller
