// SPDX-License-Identifier: Apache-2.0
#include <placement/layerorder.h>

namespace sailtiller {

std::string_view name_of(order_result result)
{
    switch (result) {
    case order_result::begun:
        return "begun";
    case order_result::unfit:
        return "unfit";
    case order_result::fenced:
        return "fenced";
    case order_result::gone:
        return "gone";
    case order_result::refused:
        return "refused";
    case order_result::unanswered:
        return "unanswered";
    }
    return "unknown";
}

} // namespace sailtiller
