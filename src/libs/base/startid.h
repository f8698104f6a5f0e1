// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <optional>

namespace sailtiller {

/// Unix milliseconds at which an upstream started, by its own clock.
using start_moment = strong_type<struct start_moment_tag, std::uint64_t>;

/// The id of one start of an upstream. Its name may be used by a later start, which holds and knows nothing
/// of before, so all that is remembered of an upstream is kept by this id and ends with the start. An
/// upstream that doesn't tell when it started goes by its name alone.
upstream_id make_start_id(const std::string& name, const std::optional<start_moment>& born);

/// The name under which an upstream enters itself, and which it expects in requests.
std::string upstream_name(const upstream_id& id);

/// True if the first start is known to be before the second one. A moment that isn't told is neither.
bool is_older_start(const std::optional<start_moment>& first, const std::optional<start_moment>& second);

} // namespace sailtiller
