// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <store/storetypes.h>

#include <map>
#include <set>

namespace sailtiller {

/// A keyed topic as far as this host knows it, kept so that another host can be told what it lacks.
class record_mirror
{
public:
    /// Removals beyond this number are forgotten; whoever might lack one of them gets everything.
    static constexpr std::size_t most_removals = 1000;

    /// Takes a record that lies at this offset, or that is the newest of its key up to there. Every one comes
    /// here, whatever its reader makes of it: others hold other lists, and are told that they know all up to
    /// the end. Only one that follows directly on what is known and repeats the newest value of its key says
    /// nothing to anybody: behind records that were not seen, the same value may be a change to others.
    void note(const keyed_record& record, log_offset offset);
    /// Everything was read anew, up to `end`; what is not in it is gone.
    void replace(const std::vector<keyed_record>& records, log_offset end);
    /// All up to `end` has been seen.
    void advance(log_offset end);

    /// Up to where the topic is known; nothing before the first reading.
    [[nodiscard]] const std::optional<log_offset>& end() const { return this->known_end; }

    /// The newest value of a key; nothing if it has none.
    [[nodiscard]] std::optional<std::string> find(const std::string& key) const;

    /// What one lacks who knows less.
    struct difference
    {
        std::vector<keyed_record> records;
        bool is_whole = false; ///< these are all; keys that are not in it are gone
    };
    /// What one lacks who knows everything before `offset`, or nothing at all.
    [[nodiscard]] difference since(const std::optional<log_offset>& offset) const;
    /// True if that is everything that stands.
    [[nodiscard]] bool lacks_everything(const std::optional<log_offset>& offset) const
    {
        return !offset || *offset < this->complete_from;
    }
    /// True if more than that number of keys have changed since then.
    [[nodiscard]] bool has_more_changes(log_offset since, std::size_t number) const;

private:
    struct entry
    {
        std::optional<std::string> value; ///< nothing: removed
        log_offset changed;
    };

    void set_entry(const std::string& key, const std::optional<std::string>& value, log_offset changed);
    void forget_removals();

    std::map<std::string, entry> entries;
    /// The keys in the order of their changes, so that a difference costs no look at all entries.
    std::set<std::pair<log_offset, std::string>> changes;
    std::size_t removals = 0; ///< entries without a value
    std::optional<log_offset> known_end;
    /// Changes before this are not all known. A list that was read says nothing of the records that led to
    /// it, and what differs from the list before is no answer to one who knows some of them: a key that was
    /// dropped and written again between two lists differs in neither.
    log_offset complete_from;
};

} // namespace sailtiller
