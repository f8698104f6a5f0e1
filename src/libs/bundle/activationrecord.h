// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundleparts.h>
#include <bundle/signing.h>

#include <optional>
#include <variant>

namespace sailtiller {

/// What an operator states when a bundle is to take force. The text of this statement is what is signed.
struct activation
{
    activation_id id;
    std::string deployment; ///< the fleet it is meant for; another fleet ignores it
    generation_number generation; ///< one more than that of the activation it follows
    activation_id follows; ///< empty for a deployment's first activation
    part_digest manifest;
    std::string operator_name;
    std::string reason;
};

/// An activation with its signatures, in the form in which it travels unchanged through log and peers.
struct signed_activation
{
    std::string statement; ///< JSON text of the activation
    std::vector<signature> signatures; ///< over the statement, by the operator who activates
    std::vector<signature> sign_offs; ///< over `sign_off_message`, by those who approve the bundle
};

/// A state that a host vouches for: this activation was in force at `as_of`, after every record before it.
struct activation_snapshot
{
    log_offset as_of;
    signed_activation in_force;
};

/// One record of the operators' stream in the platform's log.
using log_record = std::variant<bundle_part, signed_activation, activation_snapshot>;

/// What a sign-off signs: it binds the manifest to one deployment, so that it is worth nothing in another.
std::string sign_off_message(const std::string& deployment, const part_digest& manifest);

std::string to_statement(const activation& item);
/// Throws `error` if the text is no activation.
activation activation_from_statement(const std::string& statement);

json to_json(const signed_activation& item);
json to_json(const activation_snapshot& item);
/// Both throw `error` if the JSON has not their shape.
signed_activation signed_activation_from_json(const json& item);
activation_snapshot activation_snapshot_from_json(const json& item);

std::string encode_record(const log_record& record);
/// Throws `error` if the text is no record of this version.
log_record decode_record(std::string_view text);

} // namespace sailtiller
