// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <site/sitestate.h>
#include <site/transferbudget.h>

namespace sailtiller {

/// Limits of the exchange.
struct entry_exchange_settings
{
    /// Bytes of entries that a host sends per interval; one answer is always sent. About half of the slowest
    /// link of a host (20 Mbit/s).
    std::size_t max_bytes_per_interval = std::size_t{128} * 1024;
    duration budget_interval = std::chrono::milliseconds(100);
    /// Minimum interval between compressions of all entries; later changes are requested separately.
    duration repack_interval = std::chrono::milliseconds(500);
    /// Guards against malformed data from a peer: 100,000 entries.
    std::size_t max_text_bytes = std::size_t{64} * 1024 * 1024;
};

/// Callbacks of the exchange.
struct entry_exchange_hooks
{
    clock_function now;
    /// Requests from a host the entries that this one lacks, which has them up to `known`; the callback gets
    /// the answer, or nothing.
    std::function<void(const known_host&, const std::optional<log_offset>& known,
        std::function<void(const std::optional<std::string>&)>)>
        ask;
    /// Called when the entries are known up to `end`.
    std::function<void(log_offset end)> on_applied;
    /// Called for malformed data.
    std::function<void(const known_host&, const std::string& reason)> on_malformed;
};

/// Distributes upstream entries between hosts when more has changed than reports carry. An outdated host
/// requests the missing entries from one other host at a time, so that each change is sent once, and
/// compressed.
class entry_exchange
{
public:
    entry_exchange(entry_exchange_settings settings, site_state& knowledge, entry_exchange_hooks hooks);

    /// Handles a report of another host, which may have more entries than the report carried.
    void note_answer(const peer_report& answer);
    /// Returns the answer for a peer; nothing if there is nothing new or the budget of the interval is used
    /// up.
    std::optional<std::string> make_answer(const std::optional<log_offset>& known);

private:
    void take(const known_host& holder, const std::optional<std::string>& bytes, time_point asked);
    /// All entries, compressed, and the time as of which they are confirmed.
    struct packed_list
    {
        std::string packed;
        log_offset end;
        time_point packed_at{};
        std::optional<time_point> confirmed;
    };
    const packed_list& packed_entries();
    [[nodiscard]] std::optional<time_point> confirmed_at() const;

    entry_exchange_settings settings;
    site_state& knowledge;
    entry_exchange_hooks hooks;
    std::optional<packed_list> list;
    bool is_fetching = false;
    transfer_budget budget;
};

/// Encodes a query for entries as CBOR: the offset up to which they are known, if any.
std::string encode_entry_question(const std::optional<log_offset>& known);
/// Throws `error` if the bytes are malformed.
std::optional<log_offset> decode_entry_question(const std::string& bytes);

} // namespace sailtiller
