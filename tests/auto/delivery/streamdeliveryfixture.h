// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "deliveryfixture.h"

#include <delivery/streamdelivery.h>

namespace sailtiller::tests {

/// Streams over two engines that together hold the layers of the sample profile.
class stream_delivery_fixture : public delivery_fixture
{
protected:
    stream_delivery_fixture()
    {
        this->put_engine("head", 1, {0, 8});
        this->put_engine("tail", 2, {8, 16});
    }

    std::shared_ptr<stream_delivery> start() { return this->start(this->make_order(route_kind::stream)); }

    std::shared_ptr<stream_delivery> start(const delivery_order& order)
    {
        auto delivery = std::make_shared<stream_delivery>(
            *this->context, order, this->make_caller(), [this] { ++this->done; });
        delivery->start();
        return delivery;
    }

    /// Returns the engine to which the request was last sent.
    upstream_id last_target()
    {
        return upstream_id(find_header(this->last_send().message.headers, "target").value());
    }

    /// Starts a stream and delivers its events up to `count`, exclusive.
    std::shared_ptr<stream_delivery> start_streaming(unsigned count)
    {
        auto delivery = this->start();
        EXPECT_TRUE(this->last_send().handlers.may_send());
        give_head(this->last_send(), 200, signed_head());
        this->last_send().handlers.on_body(events(0, count));
        return delivery;
    }

    /// Checks that the last send resumes a stream of which the caller has three events, and that the caller
    /// gets the whole stream once the other two have come.
    void expect_whole_after_resuming()
    {
        EXPECT_EQ(find_header(this->last_send().message.headers, "last-event"), "2");
        give_head(this->last_send(), 200, signed_head());
        this->last_send().handlers.on_body(events(3, 5));
        end(this->last_send());
        EXPECT_EQ(this->caller.body, events(0, 5));
        EXPECT_TRUE(this->caller.is_finished);
    }

    /// Refuses the current and all following sends with this status until the time has passed. Returns the
    /// number of refused sends.
    std::size_t refuse_sends_for(duration time, int status)
    {
        const std::size_t before = this->sends.size() - 1;
        std::size_t answered = before;
        const time_point end_of_refusals = this->now + time;
        while (this->now < end_of_refusals && !this->caller.is_aborted) {
            if (this->sends.size() > answered) {
                ++answered;
                give_head(this->last_send(), status, {{"id", "r1"}, {"not-run", "1"}});
                end(this->last_send());
            }
            this->pass(std::chrono::milliseconds(5));
        }
        return answered - before;
    }
};

} // namespace sailtiller::tests
