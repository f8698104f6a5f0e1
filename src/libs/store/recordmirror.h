// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <store/storetypes.h>

#include <map>

namespace sailtiller {

/// A keyed topic as far as this host knows it, kept so that another host can be told what it lacks.
class record_mirror
{
public:
    /// Removals beyond this number are forgotten; whoever might lack one of them gets everything.
    static constexpr std::size_t most_removals = 1000;

    /// A record that changes something, at this offset.
    void note(const keyed_record& record, log_offset offset);
    /// Everything was read anew, up to `end`; what is not in it is gone.
    void replace(const std::vector<keyed_record>& records, log_offset end);
    /// All up to `end` has been seen.
    void advance(log_offset end);

    /// Up to where the topic is known; nothing before the first reading.
    [[nodiscard]] const std::optional<log_offset>& end() const { return this->known_end; }

    /// What one lacks who knows less.
    struct difference
    {
        std::vector<keyed_record> records;
        bool is_whole = false; ///< these are all; keys that are not in it are gone
    };
    /// What one lacks who knows everything before `offset`, or nothing at all.
    [[nodiscard]] difference since(const std::optional<log_offset>& offset) const;

private:
    struct entry
    {
        std::optional<std::string> value; ///< nothing: removed
        log_offset changed;
    };

    void forget_removals();
    /// A list up to `end` was read, without the changes that led there.
    void note_skipped(log_offset end);
    [[nodiscard]] bool is_complete_since(log_offset offset) const;

    std::map<std::string, entry> entries;
    std::optional<log_offset> known_end;
    log_offset complete_from; ///< changes before this are not all known
    /// Nor are those between these two, which a list skipped: records that came and went there.
    log_offset gap_begin;
    log_offset gap_end;
};

} // namespace sailtiller
