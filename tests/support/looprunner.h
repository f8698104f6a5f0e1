// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/eventloop.h>

#include <gtest/gtest.h>

namespace sailtiller::tests {

/// Turns the loop until `is_done`. Fails the test after a time that a sound run never needs.
template <typename Condition>
void run_until(event_loop& loop, const Condition& is_done)
{
    constexpr duration watchdog = std::chrono::seconds(60);
    const time_point start = loop.now();
    while (!is_done()) {
        loop.run_once(std::chrono::milliseconds(20));
        if (loop.now() - start > watchdog) {
            FAIL() << "the loop did not get there";
        }
    }
}

} // namespace sailtiller::tests
