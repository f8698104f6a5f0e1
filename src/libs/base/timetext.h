// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/clock.h>

#include <string>

namespace sailtiller {

/// Whole milliseconds, without the unit.
std::string write_milliseconds(duration time);

} // namespace sailtiller
