// SPDX-License-Identifier: Apache-2.0
#include <fleet/ownership.h>
#include <fleet/renewalschedule.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using namespace std::chrono_literals;

constexpr renewal_settings settings{90s, 2s};

class renewal_schedule_test : public testing::Test
{
protected:
    std::vector<host_id> hosts{host_id("a"), host_id("b"), host_id("c")};
    std::vector<host_id> ranked = rank_owners("record", this->hosts);
    renewal_schedule first{settings, this->ranked[0]};
    renewal_schedule second{settings, this->ranked[1]};

    [[nodiscard]] std::size_t due(const renewal_schedule& duty, duration elapsed) const
    {
        return duty.due(time_point(elapsed), this->hosts, 10).size();
    }
};

TEST_F(renewal_schedule_test, the_first_rank_renews_at_a_third_of_the_retention)
{
    this->first.note_seen("record", time_point());
    this->second.note_seen("record", time_point());
    EXPECT_EQ(this->due(this->first, 29s), 0U);
    EXPECT_EQ(this->due(this->first, 30s), 1U);
    EXPECT_EQ(this->due(this->second, 30s), 0U);
}

TEST_F(renewal_schedule_test, the_next_rank_takes_over_from_a_host_that_is_down)
{
    this->second.note_seen("record", time_point());
    EXPECT_EQ(this->due(this->second, 32s), 1U);
}

TEST_F(renewal_schedule_test, the_next_rank_stands_down_when_it_sees_the_record_again)
{
    this->second.note_seen("record", time_point());
    this->second.note_seen("record", time_point(31s));
    EXPECT_EQ(this->due(this->second, 32s), 0U);
}

TEST_F(renewal_schedule_test, a_record_that_came_from_a_peer_is_due_at_once_by_rank)
{
    this->first.note_needed("record", time_point(100s));
    this->second.note_needed("record", time_point(100s));
    EXPECT_EQ(this->due(this->first, 100s), 1U);
    EXPECT_EQ(this->due(this->second, 100s), 0U);
    EXPECT_EQ(this->due(this->second, 102s), 1U);
}

TEST_F(renewal_schedule_test, no_more_records_are_due_at_once_than_requested)
{
    for (int record = 0; record < 100; ++record) {
        this->first.note_seen(std::to_string(record), time_point());
    }
    EXPECT_EQ(this->first.due(time_point(80s), this->hosts, 10).size(), 10U);
}

} // namespace

} // namespace sailtiller
