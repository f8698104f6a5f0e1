// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundle.h>

namespace sailtiller {

/// Adds a fault for everything in a bundle that is well-formed and yet can't be served: names that stand
/// twice or dangle, layers that leave a gap, key digests and addresses of the wrong form, time limits that
/// contradict.
void check_bundle(const bundle& content, std::vector<json_fault>& faults);

} // namespace sailtiller
