// SPDX-License-Identifier: Apache-2.0
#include <placement/missinglayers.h>
#include <support/sampleprofile.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

discovered_upstream make_engine(const std::string& id, const std::string& hall, layer_span held)
{
    discovered_upstream upstream;
    upstream.id = upstream_id(id);
    upstream.service = service_id("llm");
    upstream.address = endpoint(id + ":1");
    upstream.data_hall = data_hall_id(hall);
    upstream.card = "big";
    upstream.held = held;
    return upstream;
}

TEST(missing_layers, are_counted_per_hall)
{
    upstream_pool pool;
    pool.name = service_id("llm");
    pool.engine = tests::make_sample_profile();
    upstream_directory directory{std::chrono::seconds(2)};
    directory.put(make_engine("a", "x", {0, 8}), {});
    directory.put(make_engine("b", "x", {6, 16}), {});
    directory.put(make_engine("c", "y", {0, 10}), {});
    directory.put(make_engine("d", "z", {}), {});
    directory.put(make_engine("beyond the model", "y", {0, 40}), {});
    const std::map<data_hall_id, unsigned> expected = {
        {data_hall_id("x"), 0}, {data_hall_id("y"), 6}, {data_hall_id("z"), 16}};
    EXPECT_EQ(count_missing_layers(pool, directory), expected);
    pool.engine.reset();
    EXPECT_TRUE(count_missing_layers(pool, directory).empty());
}

} // namespace

} // namespace sailtiller
