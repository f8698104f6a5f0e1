// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundle.h>

namespace sailtiller {

/// What differs between two bundles: one line for each value that is removed ("- "), added ("+ ") or changed
/// ("~ "), with its path. Items of lists are named by their names, so that a moved item is no difference.
std::vector<std::string> describe_difference(const bundle& before, const bundle& after);

} // namespace sailtiller
