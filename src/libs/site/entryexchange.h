// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <site/sitestate.h>
#include <site/transferbudget.h>

namespace sailtiller {

/// Bounds of the exchange.
struct entry_exchange_settings
{
    /// Bytes of entries that a host gives in one interval, at the least one answer: about half of the
    /// smallest link that hosts have (20 Mbit/s).
    std::size_t max_bytes_per_interval = std::size_t{128} * 1024;
    duration budget_interval = std::chrono::milliseconds(100);
    /// All entries are packed anew only so often; what has changed since is asked for next.
    duration repack_interval = std::chrono::milliseconds(500);
    /// Guards against malformed bytes of a peer: 100,000 entries.
    std::size_t max_text_bytes = std::size_t{64} * 1024 * 1024;
};

/// What the exchange needs from outside.
struct entry_exchange_hooks
{
    clock_function now;
    /// Asks a host for what this one lacks, which knows the entries up to `known`; it gives bytes, or
    /// nothing.
    std::function<void(const known_host&, const std::optional<log_offset>& known,
        std::function<void(const std::optional<std::string>&)>)>
        ask;
    /// The entries are known up to there.
    std::function<void(log_offset end)> on_applied;
    /// Tells about bytes that can't be read.
    std::function<void(const known_host&, const std::string& reason)> on_malformed;
};

/// How the upstreams' entries get from host to host when more has changed than reports tell. A host that is
/// behind asks one other at a time for what it lacks, so that each change comes once, and packed.
class entry_exchange
{
public:
    entry_exchange(entry_exchange_settings settings, site_state& knowledge, entry_exchange_hooks hooks);

    /// An answer of another host came; it may know more of the entries than it told.
    void note_answer(const peer_report& answer);
    /// What one who asks gets; nothing if there is nothing new, or enough was given for now.
    std::optional<std::string> give(const std::optional<log_offset>& known);

private:
    void take(const known_host& holder, const std::optional<std::string>& bytes, time_point asked);
    /// All entries, packed, and since when they are known to be the newest.
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

/// A question for entries as CBOR: up to where they are known, if at all.
std::string encode_entry_question(const std::optional<log_offset>& known);
/// Throws `error` if the bytes are malformed.
std::optional<log_offset> decode_entry_question(const std::string& bytes);

} // namespace sailtiller
