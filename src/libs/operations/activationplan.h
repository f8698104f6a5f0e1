// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/random.h>
#include <operations/operatorsession.h>

namespace sailtiller {

/// Who activates, and why.
struct activation_wish
{
    std::string deployment;
    part_digest manifest;
    std::vector<signature> sign_offs;
    std::string operator_name;
    std::string reason;
};

/// The activation that would follow what the history shows in force. Throws `error` if the history has a gap,
/// so that nobody can say what is in force.
signed_activation make_activation(const log_history& history, const activation_wish& wish,
    const private_key& key, const random_function& random);

/// Appends an activation and finds out by reading how the log judged it. When an answer is lost the log is
/// read before the same record is appended again, which is harmless as it carries its id. Throws `error` if
/// the log can't be read within the time, so that the verdict stays unknown.
activation_verdict append_activation(
    operator_session& session, const trust_settings& trust, const signed_activation& item, duration longest);

/// The parts that the log doesn't hold yet.
std::vector<bundle_part> unpublished_parts(const log_history& history, const bundle_part_set& set);

/// Appends every part that the log doesn't hold. Returns how many. Throws `error` if the log doesn't take
/// them.
std::size_t publish_parts(operator_session& session, const trust_settings& trust, const bundle_part_set& set);

} // namespace sailtiller
