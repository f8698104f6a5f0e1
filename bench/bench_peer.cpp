// SPDX-License-Identifier: Apache-2.0
// Cost of one small question between hosts over a kept peer connection, both sides in one process. Prints
// JSON.
#include <base/json.h>
#include <fleet/shareallocator.h>
#include <runtime/peerclient.h>
#include <runtime/peerserver.h>

#include <ctime>
#include <iostream>

namespace {

using namespace sailtiller;

constexpr int questions = 20'000;

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

int main()
{
    event_loop loop;
    const account_limits limits{100, 0};
    share_allocator home([&limits](const client_account_id&) { return &limits; });
    peer_server server(loop, [&](const std::string&, const std::string& body) -> std::optional<std::string> {
        return encode_share_grants(home.answer(decode_share_query(body), loop.now()));
    });
    const endpoint address = server.listen(endpoint("127.0.0.1:0"));
    peer_client client(loop, std::chrono::seconds(1));
    const std::string question =
        encode_share_query({host_id("host-17"), {{client_account_id("account-1234"), 3, 2, 1}}});
    int answered = 0;
    const double began = processor_seconds();
    for (int asked = 0; asked < questions; ++asked) {
        client.ask(
            address, share_query_method, question, std::chrono::seconds(5),
            [&answered](const std::string&) { ++answered; }, [](const peer_failure&) {});
        while (answered <= asked) {
            loop.run_once(std::chrono::milliseconds(100));
        }
    }
    const double micros = (processor_seconds() - began) * 1e6 / questions;
    const json results = {{"cpu_us_both_sides", micros},
        {"bytes_sent", static_cast<double>(client.bytes_sent()) / questions},
        {"bytes_received", static_cast<double>(client.bytes_received()) / questions}};
    std::cout << results.dump(2) << "\n";
    return 0;
}
