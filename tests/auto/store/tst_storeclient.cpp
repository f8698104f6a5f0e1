// SPDX-License-Identifier: Apache-2.0
// Reads of the store over real connections, against a stand-in and against servers whose pages don't end.
#include <platform/wirestore.h>
#include <runtime/httpclient.h>
#include <standins/platformstore.h>
#include <store/storeclient.h>
#include <support/looprunner.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using tests::run_until;

/// What came of reading the newest records of the upstreams.
struct reading
{
    std::vector<std::string> keys;
    std::optional<std::string> failure;
    bool is_done = false;
};

class store_client_test : public testing::Test
{
protected:
    reading read_from(const std::function<void(const std::shared_ptr<http_exchange>&)>& answer,
        std::size_t max_bytes = 1 << 20)
    {
        http_server server(this->loop, {}, std::nullopt, answer);
        const endpoint address = server.listen(endpoint("127.0.0.1:0"));
        store_client client(this->loop, this->client, {.address = address, .max_newest_bytes = max_bytes},
            platform::make_store_codec());
        reading result;
        client.read_newest(
            store_topic::upstreams,
            [&result](const newest_page& all) {
                for (const keyed_record& record : all.records) {
                    result.keys.push_back(record.key);
                }
                result.is_done = true;
            },
            [&result](const error& failure) {
                result.failure = failure.reason();
                result.is_done = true;
            });
        run_until(this->loop, [&result] { return result.is_done; });
        this->calls = client.calls_made();
        return result;
    }

    event_loop loop;
    http_client client{this->loop, {}};
    std::uint64_t calls = 0;
};

// Guards against a host that reads the same page without end, and grows, because a key holds a sign of the
// query.
TEST_F(store_client_test, reads_all_pages_whatever_signs_stand_in_the_keys)
{
    const std::vector<std::string> keys = {
        "#", "%", "%26", "&", "+", "R D", "R&D-1", "R&D-2", "R&D-3", "R=D", "R?D", "i-1", "\xc3\xa9"};
    standins::platform_store store(this->loop);
    for (const std::string& key : keys) {
        store.put("keyed.servers", key, "{}");
    }
    const bool is_open = true;
    const reading result = this->read_from(
        [&](const std::shared_ptr<http_exchange>& exchange) { store.handle(exchange, is_open); });
    EXPECT_EQ(result.failure, std::nullopt);
    EXPECT_EQ(result.keys, keys);
}

void answer_page(const std::shared_ptr<http_exchange>& exchange, const std::string& key)
{
    exchange->respond(
        {200, {}, R"({"items":[{"tls-key":")" + key + R"(","value":"e30="}],"more":true,"end":1})"});
}

TEST_F(store_client_test, ends_a_reading_whose_pages_repeat)
{
    const reading same = this->read_from([](const auto& exchange) { answer_page(exchange, "a"); });
    EXPECT_EQ(same.failure, "the pages repeat");
    EXPECT_EQ(this->calls, 2U);
    unsigned count = 0;
    const reading in_turn = this->read_from([&count](const auto& exchange) {
        answer_page(exchange, std::string(1, static_cast<char>('a' + count++ % 3)));
    });
    EXPECT_EQ(in_turn.failure, "the pages repeat");
    EXPECT_EQ(this->calls, 4U);
}

TEST_F(store_client_test, ends_a_reading_of_more_than_it_may_keep)
{
    unsigned count = 0;
    const reading result = this->read_from(
        [&count](const auto& exchange) { answer_page(exchange, std::to_string(++count)); }, 100);
    EXPECT_EQ(result.failure, "the records exceed 100 bytes");
    EXPECT_LT(this->calls, 60U);
}

} // namespace

} // namespace sailtiller
