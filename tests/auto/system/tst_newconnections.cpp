// SPDX-License-Identifier: Apache-2.0
// Most callers' new connections come to one host, and later to another one.
#include "sitebed.h"

#include <algorithm>
#include <random>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

/// Required: share of the requests read that are served, against the seconds before.
constexpr double least_share = 0.75;
constexpr unsigned calm_requests_per_second = 30;
/// Callers also open connections more often.
constexpr unsigned storm_requests_per_second = 150;
constexpr unsigned storm_share_of_one_host = 9; ///< in ten

class new_connections : public site_bed, public testing::WithParamInterface<unsigned>
{
protected:
    struct first_try
    {
        time_point sent{};
        std::shared_ptr<site_answer> answer;
    };

    /// Sends requests, each over a connection of its own; nine in ten to the preferred host, if there is one.
    void send(duration time, unsigned per_second, std::optional<std::size_t> preferred)
    {
        const time_point begin = this->loop.now();
        for (unsigned number = 0; this->loop.now() < begin + time; ++number) {
            std::size_t host = this->random() % this->hosts.size();
            if (preferred && this->random() % 10 < storm_share_of_one_host) {
                host = *preferred;
            }
            const std::string id = "n" + std::to_string(this->tries.size());
            const bool is_stream = this->random() % 4 != 0;
            this->tries.push_back({this->loop.now(),
                this->ask(*this->hosts[host], id, is_stream ? "/chat/x" : "/submit/x", "key-1", "of " + id,
                    {{"connection", "close"}})});
            const time_point next = begin + (duration(1s) * (number + 1)) / per_second;
            while (this->loop.now() < next) {
                this->loop.run_once(next - this->loop.now());
            }
        }
    }

    [[nodiscard]] double share_served(time_point from, time_point until) const
    {
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const first_try& item : this->tries) {
            if (item.sent >= from && item.sent < until) {
                ++sent;
                served += item.answer->status == 200 ? 1 : 0;
            }
        }
        return sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent);
    }

    std::mt19937 random{this->GetParam()};
    std::vector<first_try> tries;
};

TEST_P(new_connections, a_host_that_gets_most_of_them_serves_as_before)
{
    this->start_engines(6);
    for (const char* name : {"a", "b", "c"}) {
        this->start_host(name);
    }
    for (const auto& host : this->hosts) {
        this->wait_until_served(*host);
    }
    const time_point start = this->loop.now();
    this->send(2s, calm_requests_per_second, std::nullopt);
    const time_point storm = this->loop.now();
    const std::size_t first = this->random() % this->hosts.size();
    this->send(4s, storm_requests_per_second, first);
    this->send(3s, storm_requests_per_second, (first + 1) % this->hosts.size());
    const time_point end = this->loop.now();
    for (const first_try& item : this->tries) {
        this->wait_for(item.answer);
    }
    const double before = this->share_served(start, storm);
    const double during = this->share_served(storm, end);
    EXPECT_GE(during, least_share * before);
    std::cout << "served before " << before << ", during " << during << "\n";
}

INSTANTIATE_TEST_SUITE_P(seeds, new_connections, testing::Values(1, 2));

} // namespace

} // namespace sailtiller::tests
