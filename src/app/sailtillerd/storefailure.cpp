// SPDX-License-Identifier: Apache-2.0
#include "storefailure.h"

#include <runtime/eventlog.h>

namespace sailtiller {

void log_store_failure(const error& failure)
{
    log_event(log_level::warning, event_type::store_call_failed,
        {{"step", failure.step()}, {"peer", failure.peer()}, {"reason", failure.reason()}});
}

} // namespace sailtiller
