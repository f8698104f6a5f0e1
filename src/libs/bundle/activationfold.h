// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/activationrecord.h>

#include <deque>
#include <map>
#include <set>

namespace sailtiller {

/// What a reader of the log needs to judge activations.
struct trust_settings
{
    std::string deployment;
    std::vector<public_key> keys;
};

/// An activation that was accepted.
struct accepted_activation
{
    activation content;
    signed_activation original;
};

enum class activation_outcome { accepted, refused };

/// How the log judged an activation, and which one was in force right after it.
struct activation_verdict
{
    activation_outcome outcome = activation_outcome::refused;
    std::string reason; ///< why it was refused; empty if accepted
    activation_id in_force; ///< the activation in force after the judged record
    std::string in_force_operator;
};

/// Counts of what was passed over, for metrics and logs.
struct fold_counters
{
    std::uint64_t unsigned_records = 0; ///< no valid signature by a trusted key
    std::uint64_t foreign_records = 0; ///< meant for another deployment
    std::uint64_t refused_activations = 0; ///< lost a race, or followed what was not in force
    std::uint64_t contradicting_snapshots = 0; ///< snapshots older than what is in force here
};

/// Which activation is in force, as a fold over the records of the log in the order of their offsets.
///
/// An activation is accepted only if it follows the one in force at its offset, so every reader that has read
/// to the same offset gives the same verdict. Records expire: a reader that has missed some can't judge
/// activations until a snapshot that covers the gap arrives from the log or a peer. The generation never
/// falls.
class activation_fold
{
public:
    explicit activation_fold(trust_settings trust);

    /// Says that records before `first_retained` have expired. Leaves a gap if some of them were not read.
    void note_first_retained(log_offset first_retained);
    /// Reads the record at `next_offset()` or later; one at an earlier offset is ignored.
    void read(log_offset offset, const log_record& record);
    /// Counts a record that could not be decoded as read.
    void skip(log_offset offset);
    /// Takes a state from a peer. Returns false if it is not validly signed or tells nothing new.
    bool adopt(const activation_snapshot& snapshot);

    [[nodiscard]] const std::optional<accepted_activation>& in_force() const { return this->current; }
    [[nodiscard]] generation_number generation() const;
    /// False while expired records have been missed that no snapshot covers.
    [[nodiscard]] bool is_complete() const { return this->complete; }
    [[nodiscard]] log_offset next_offset() const { return this->next; }
    /// The state to hand to a peer or to append to the log; empty if there is none or it is not complete.
    [[nodiscard]] std::optional<activation_snapshot> snapshot() const;
    /// The verdict on an activation among those lately judged.
    [[nodiscard]] std::optional<activation_verdict> verdict_of(const activation_id& id) const;
    [[nodiscard]] const fold_counters& counters() const { return this->counts; }

    /// True if enough trusted keys have signed the activation and its bundle for this deployment.
    [[nodiscard]] bool is_trusted(const activation& content, const signed_activation& item) const;

private:
    struct unjudged_activation
    {
        log_offset offset;
        activation content;
        signed_activation original;
    };

    void read_activation(log_offset offset, const signed_activation& item);
    void read_snapshot(const activation_snapshot& item);
    void judge(const activation& content, const signed_activation& original);
    void remember_verdict(const activation& content, activation_verdict verdict);
    std::optional<activation> verify(const signed_activation& item);
    void resume_from(const activation_snapshot& snapshot, const activation& content);

    trust_settings trust;
    std::optional<accepted_activation> current;
    bool complete = true;
    log_offset next{0};
    log_offset window_start{0}; ///< every record from here to `next` was read
    std::vector<unjudged_activation> unjudged;
    std::map<activation_id, activation_verdict> verdicts;
    std::deque<activation_id> verdict_order;
    fold_counters counts;
};

} // namespace sailtiller
