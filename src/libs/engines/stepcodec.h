// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/stepmessage.h>

namespace sailtiller {

/// Step messages: a CBOR head and the raw hidden state behind it (docs/design/engine-protocol.md).
std::string encode_step_request(const step_request& step);
std::string encode_step_answer(const step_answer& answer);
/// Both throw `error` if the bytes have not the shape.
step_request decode_step_request(const std::string& bytes);
step_answer decode_step_answer(const std::string& bytes);

} // namespace sailtiller
