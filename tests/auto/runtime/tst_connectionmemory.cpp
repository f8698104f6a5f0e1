// SPDX-License-Identifier: Apache-2.0
#include <runtime/connectionmemory.h>

#include <gtest/gtest.h>

#include <deque>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t budget_bytes = std::size_t{10} << 20U;
constexpr std::size_t most_bytes = std::size_t{4} << 20U;

/// Connections whose input is as long as a test says, without any socket of the system.
class connection_memory_test : public testing::Test
{
protected:
    struct connection
    {
        h2o_socket_t socket{};
        h2o_buffer_t input{};
        connection_entry entry;
    };

    connection& add(std::size_t bytes)
    {
        connection& item = this->items.emplace_back();
        item.input.size = bytes;
        item.socket.input = &item.input;
        item.socket.on_close.data = &item.entry;
        item.entry.socket = &item.socket;
        this->sockets.insert(&item.socket);
        this->memory.count(item.socket, item.entry, this->now);
        return item;
    }

    [[nodiscard]] std::vector<h2o_socket_t*> find_excess() const
    {
        return this->memory.find_excess(this->sockets, most_bytes, this->now);
    }

    std::shared_ptr<memory_budget> budget = std::make_shared<memory_budget>(budget_bytes);
    connection_memory memory{this->budget};
    std::deque<connection> items;
    std::set<h2o_socket_t*> sockets;
    time_point now{100s};
};

TEST_F(connection_memory_test, nobody_gives_way_while_there_is_room)
{
    this->add(most_bytes);
    EXPECT_EQ(this->budget->held(), most_bytes);
    EXPECT_TRUE(this->find_excess().empty());
}

// Guards against a crowd that stands still and locks out whoever comes later.
TEST_F(connection_memory_test, who_has_held_as_much_for_longer_gives_way_first)
{
    const std::vector<const connection*> first{&this->add(most_bytes / 2), &this->add(most_bytes / 2)};
    this->now += 1s;
    this->add(most_bytes / 2);
    const std::vector<h2o_socket_t*> excess = this->find_excess();
    ASSERT_EQ(excess.size(), 1U) << "no more than what is too much";
    EXPECT_TRUE(excess.front() == &first[0]->socket || excess.front() == &first[1]->socket);
}

TEST_F(connection_memory_test, of_one_moment_the_largest_gives_way_first)
{
    this->add(most_bytes / 2);
    const connection& largest = this->add(most_bytes);
    this->add(most_bytes / 4);
    EXPECT_EQ(this->find_excess(), std::vector<h2o_socket_t*>{const_cast<h2o_socket_t*>(&largest.socket)});
}

TEST_F(connection_memory_test, small_requests_stay_while_one_more_fits)
{
    const std::size_t fitting = budget_bytes / small_share_bytes;
    for (std::size_t count = 0; count + 1 < fitting; ++count) {
        this->add(small_share_bytes);
    }
    EXPECT_TRUE(this->find_excess().empty());
    this->add(small_share_bytes);
    EXPECT_FALSE(this->find_excess().empty());
}

TEST_F(connection_memory_test, a_whole_request_is_counted_by_whoever_has_it)
{
    connection& item = this->add(most_bytes);
    this->memory.note_whole_request(item.entry, most_bytes);
    EXPECT_EQ(this->budget->held(), 0U);
    item.entry.discarded_bytes = most_bytes; // its copy in the input
    this->memory.count(item.socket, item.entry, this->now);
    EXPECT_EQ(this->budget->held(), 0U);
}

TEST_F(connection_memory_test, the_less_room_the_sooner_it_is_counted_again)
{
    const duration calm = this->memory.time_to_next_count(most_bytes);
    this->add(most_bytes - 1);
    EXPECT_LT(this->memory.time_to_next_count(most_bytes), calm);
    EXPECT_GT(this->memory.time_to_next_count(most_bytes), 0s);
}

} // namespace

} // namespace sailtiller::tests
