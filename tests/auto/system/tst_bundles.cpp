// SPDX-License-Identifier: Apache-2.0
// Bundles under outages of the log and operators who race.
#include "fleetbed.h"

#include <fstream>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

class bundles : public fleet_bed
{
protected:
    void SetUp() override { this->start_engines(0ms); }
};

TEST_F(bundles, of_two_racing_operators_exactly_one_is_told_accepted)
{
    bed_host& host = this->start_host("a");
    this->activate("one", {&host});
    const std::vector<std::string> first = this->prepare("first");
    const std::vector<std::string> second = this->prepare("second");
    const auto anna = this->start_command(first);
    const auto bipin = this->start_command(second);
    const int first_code = this->wait_for(*anna);
    const std::string first_output = this->last_output;
    const int second_code = this->wait_for(*bipin);
    const bool both = first_code == 0 && second_code == 0;
    // Each may have read the log after the other's activation; then both are accepted, one after the other.
    const std::uint64_t generation = both ? 3 : 2;
    EXPECT_TRUE(both || (first_code == 0) != (second_code == 0)) << first_output << this->last_output;
    this->wait_until_generation(host, generation);
    EXPECT_EQ(this->status_of(host)["generation"], generation);
}

TEST_F(bundles, a_lost_answer_to_an_activation_is_resolved_by_reading)
{
    bed_host& host = this->start_host("a");
    const std::vector<std::string> arguments = this->prepare("one");
    this->log.lose_answers(1);
    EXPECT_EQ(this->run_command(arguments), 0) << this->last_output;
    EXPECT_NE(this->last_output.find("accepted: generation 1"), std::string::npos);
    this->wait_until_generation(host, 1);
    EXPECT_EQ(this->status_of(host)["generation"], 1);
}

TEST_F(bundles, with_the_log_down_hosts_keep_serving_and_a_fresh_one_takes_the_state_from_a_peer)
{
    bed_host& host = this->start_host("a");
    this->activate("one", {&host});
    this->log.set_down(true);
    const auto answer = this->ask(host, "down");
    run_until(this->loop, [&] { return answer->status != 0; });
    EXPECT_EQ(answer->status, 200);
    bed_host& fresh = this->start_host("b");
    this->wait_until_generation(fresh, 1);
    const auto from_fresh = this->ask(fresh, "down");
    run_until(this->loop, [&] { return from_fresh->status != 0; });
    EXPECT_EQ(text_of(*from_fresh), text_of(*answer));
    this->log.set_down(false);
    this->activate("two", {&host, &fresh});
}

TEST_F(bundles, a_host_without_log_and_peers_is_not_ready_and_says_so)
{
    this->log.set_down(true);
    bed_host& host = this->start_host("a");
    EXPECT_EQ(this->status_of(host)["ready"], false);
    const auto answer = this->ask(host, "early");
    run_until(this->loop, [&] { return answer->status != 0; });
    EXPECT_EQ(answer->status, 503);
    EXPECT_EQ(find_header(answer->headers, "x-sailtiller-outcome"), "not-run");
}

TEST_F(bundles, a_roll_back_puts_the_earlier_bundle_in_force_under_a_higher_generation)
{
    bed_host& host = this->start_host("a");
    this->activate("one", {&host});
    this->activate("two", {&host});
    EXPECT_EQ(this->run_command({"bundle", "rollback", "--to-generation", "1", "--key",
                  this->path("operator"), "--operator", "bipin", "--reason", "two was wrong", "--log-address",
                  this->log_address.value(), "--deployment", "fleet", "--trusted-key",
                  this->path("operator.pub"), "--host", host.admin.value()}),
        0)
        << this->last_output;
    EXPECT_EQ(this->status_of(host)["bundle"], "one");
    EXPECT_EQ(this->status_of(host)["generation"], 3);
}

TEST_F(bundles, an_unsound_file_is_refused_with_its_place)
{
    this->content.default_policy = policy_id("none");
    const std::string file = this->path("unsound.json");
    {
        std::ofstream out(file);
        out << to_json(this->content).dump();
    }
    EXPECT_EQ(this->run_command({"bundle", "check", file}), 1);
    EXPECT_NE(this->last_output.find("/default_policy"), std::string::npos);
}

} // namespace

} // namespace sailtiller::tests
