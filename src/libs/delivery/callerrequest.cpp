// SPDX-License-Identifier: Apache-2.0
#include <delivery/callerrequest.h>

namespace sailtiller {

std::string_view name_of(path_change_result result)
{
    switch (result) {
    case path_change_result::changed:
        return "changed";
    case path_change_result::stage_refused:
        return "a stage refused";
    case path_change_result::unknown_request:
        return "the first engine does not know the request";
    case path_change_result::failed:
        return "failed";
    }
    return "unknown";
}

} // namespace sailtiller
