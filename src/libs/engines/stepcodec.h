// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/stepmessage.h>

namespace sailtiller {

/// Encodes step messages: a CBOR header followed by the raw hidden state (docs/design/engine-protocol.md).
std::string encode_step_request(const step_request& step);
std::string encode_step_answer(const step_answer& answer);
/// Decode step messages. Both throw `error` if the bytes are malformed.
step_request decode_step_request(const std::string& bytes);
step_answer decode_step_answer(const std::string& bytes);

} // namespace sailtiller
