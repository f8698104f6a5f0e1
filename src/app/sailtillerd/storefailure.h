// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/error.h>

namespace sailtiller {

/// Logs that a call to the store failed.
void log_store_failure(const error& failure);

} // namespace sailtiller
