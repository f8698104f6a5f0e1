// SPDX-License-Identifier: Apache-2.0
#include <fleet/ownership.h>

#include <gtest/gtest.h>
#include <map>

namespace sailtiller {

namespace {

std::vector<host_id> make_hosts(int count)
{
    std::vector<host_id> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        hosts.emplace_back("host-" + std::to_string(index));
    }
    return hosts;
}

TEST(ownership, does_not_depend_on_the_order_of_the_list)
{
    std::vector<host_id> hosts = make_hosts(9);
    const std::optional<host_id> owner = find_owner("key", hosts);
    std::reverse(hosts.begin(), hosts.end());
    EXPECT_EQ(find_owner("key", hosts), owner);
    EXPECT_EQ(rank_owners("key", hosts).front(), *owner);
}

TEST(ownership, only_the_keys_of_a_host_that_leaves_move)
{
    std::vector<host_id> hosts = make_hosts(9);
    const host_id gone = hosts[4];
    std::map<std::string, host_id> before;
    for (int key = 0; key < 900; ++key) {
        before[std::to_string(key)] = *find_owner(std::to_string(key), hosts);
    }
    hosts.erase(hosts.begin() + 4);
    for (const auto& [key, owner] : before) {
        if (owner != gone) {
            EXPECT_EQ(*find_owner(key, hosts), owner);
        }
    }
}

TEST(ownership, is_spread_evenly)
{
    const std::vector<host_id> hosts = make_hosts(9);
    std::map<host_id, int> owned;
    for (int key = 0; key < 9000; ++key) {
        ++owned[*find_owner(std::to_string(key), hosts)];
    }
    for (const host_id& host : hosts) {
        EXPECT_GT(owned[host], 850);
        EXPECT_LT(owned[host], 1150);
    }
}

TEST(ownership, nobody_owns_anything_without_live_hosts)
{
    EXPECT_FALSE(find_owner("key", {}));
}

} // namespace

} // namespace sailtiller
