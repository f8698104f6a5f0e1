// SPDX-License-Identifier: Apache-2.0
#include <delivery/outcome.h>

namespace sailtiller {

const char* to_text(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::not_run:
        return "not-run";
    case request_outcome::unknown:
        return "unknown";
    case request_outcome::failed:
        return "failed";
    }
    return "unknown";
}

} // namespace sailtiller
