// SPDX-License-Identifier: Apache-2.0
#include <base/timetext.h>

namespace sailtiller {

std::string write_milliseconds(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace sailtiller
