// SPDX-License-Identifier: Apache-2.0
#include <bundle/activationfold.h>
#include <support/sampleactivation.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

using tests::sample_operator;
using tests::trust_in;

class activation_fold_test : public testing::Test
{
protected:
    sample_operator anna{"anna"};
    sample_operator bipin{"bipin"};
    trust_settings trust = trust_in({&this->anna, &this->bipin});
    activation_fold fold{this->trust};

    /// Appends to the imagined log and lets the fold read it.
    void append(const log_record& record) { this->fold.read(log_offset(this->end++), record); }

    std::uint64_t end = 0;
};

TEST_F(activation_fold_test, the_first_of_two_racing_operators_wins)
{
    const signed_activation first = this->anna.activate(this->fold, part_digest("a"));
    const signed_activation second = this->bipin.activate(this->fold, part_digest("b"));
    this->append(first);
    this->append(second);
    ASSERT_TRUE(this->fold.in_force());
    EXPECT_EQ(this->fold.in_force()->content.operator_name, "anna");
    const std::optional<activation_verdict> lost = this->fold.verdict_of(activation_id("bipin-1"));
    ASSERT_TRUE(lost);
    EXPECT_EQ(lost->outcome, activation_outcome::refused);
    EXPECT_EQ(lost->in_force_operator, "anna");
}

TEST_F(activation_fold_test, a_record_appended_twice_is_harmless)
{
    const signed_activation first = this->anna.activate(this->fold, part_digest("a"));
    this->append(first);
    this->append(first);
    const signed_activation second = this->anna.activate(this->fold, part_digest("b"));
    this->append(second);
    this->append(first);
    EXPECT_EQ(this->fold.generation(), generation_number(2));
    EXPECT_EQ(this->fold.verdict_of(activation_id("anna-1"))->outcome, activation_outcome::accepted);
}

TEST_F(activation_fold_test, a_roll_back_is_a_higher_generation)
{
    this->append(this->anna.activate(this->fold, part_digest("a")));
    this->append(this->anna.activate(this->fold, part_digest("b")));
    this->append(this->bipin.activate(this->fold, part_digest("a")));
    EXPECT_EQ(this->fold.generation(), generation_number(3));
    EXPECT_EQ(this->fold.in_force()->content.manifest, part_digest("a"));
}

TEST_F(activation_fold_test, untrusted_altered_and_foreign_records_are_ignored_and_counted)
{
    sample_operator stranger("stranger");
    this->append(stranger.activate(this->fold, part_digest("a")));
    signed_activation altered = this->anna.activate(this->fold, part_digest("a"));
    altered.statement[altered.statement.find("test")] = 'b';
    this->append(altered);
    activation foreign =
        activation_from_statement(this->anna.activate(this->fold, part_digest("a")).statement);
    foreign.deployment = "another fleet";
    this->append(this->anna.activate(foreign));
    signed_activation no_sign_off = this->anna.activate(this->fold, part_digest("a"));
    no_sign_off.sign_offs.clear();
    this->append(no_sign_off);
    EXPECT_FALSE(this->fold.in_force());
    EXPECT_EQ(this->fold.counters().unsigned_records, 3U);
    EXPECT_EQ(this->fold.counters().foreign_records, 1U);
}

TEST_F(activation_fold_test, a_sign_off_of_another_fleet_is_worth_nothing)
{
    signed_activation item = this->anna.activate(this->fold, part_digest("a"));
    item.sign_offs = {this->anna.key().sign(sign_off_message("another fleet", part_digest("a")))};
    this->append(item);
    EXPECT_FALSE(this->fold.in_force());
}

TEST_F(activation_fold_test, a_reader_that_missed_records_judges_nothing_until_a_snapshot_covers_the_gap)
{
    const signed_activation first = this->anna.activate(this->fold, part_digest("a"));
    this->append(first);
    activation_fold late(this->trust);
    late.note_first_retained(log_offset(1));
    const signed_activation second = this->bipin.activate(this->fold, part_digest("b"));
    const activation_snapshot snapshot = *this->fold.snapshot();
    this->append(second);
    late.read(log_offset(1), second);
    EXPECT_FALSE(late.in_force());
    EXPECT_FALSE(late.is_complete());
    late.read(log_offset(2), snapshot);
    EXPECT_TRUE(late.is_complete());
    EXPECT_EQ(late.generation(), generation_number(2)) << "the record after the snapshot counts too";
}

TEST_F(activation_fold_test, a_paused_carriers_old_snapshot_makes_nobody_revert)
{
    this->append(this->anna.activate(this->fold, part_digest("a")));
    const activation_snapshot old = *this->fold.snapshot();
    this->append(this->anna.activate(this->fold, part_digest("b")));
    this->append(old);
    EXPECT_EQ(this->fold.generation(), generation_number(2));

    // The same log after the second activation has expired: the old snapshot does not reach over the gap.
    activation_fold fresh(this->trust);
    fresh.note_first_retained(log_offset(2));
    fresh.read(log_offset(2), old);
    EXPECT_FALSE(fresh.in_force());
    EXPECT_FALSE(fresh.is_complete());
}

TEST_F(activation_fold_test, the_loser_of_an_expired_race_is_not_accepted_by_a_fresh_reader)
{
    const signed_activation first = this->anna.activate(this->fold, part_digest("a"));
    const signed_activation loser = this->bipin.activate(this->fold, part_digest("b"));
    this->append(first);
    this->append(loser);
    activation_fold fresh(this->trust);
    fresh.note_first_retained(log_offset(1));
    fresh.read(log_offset(1), loser);
    EXPECT_FALSE(fresh.in_force());
}

TEST_F(activation_fold_test, a_fresh_host_takes_the_state_from_a_peer_when_the_log_is_down)
{
    this->append(this->anna.activate(this->fold, part_digest("a")));
    activation_fold fresh(this->trust);
    EXPECT_TRUE(fresh.adopt(*this->fold.snapshot()));
    EXPECT_EQ(fresh.generation(), generation_number(1));
    EXPECT_EQ(fresh.next_offset(), log_offset(1));
}

TEST_F(activation_fold_test, a_peer_that_is_behind_or_unsigned_changes_nothing)
{
    this->append(this->anna.activate(this->fold, part_digest("a")));
    const activation_snapshot old = *this->fold.snapshot();
    this->append(this->anna.activate(this->fold, part_digest("b")));
    EXPECT_FALSE(this->fold.adopt(old));
    activation_snapshot ahead = old;
    ahead.as_of = log_offset(100);
    EXPECT_FALSE(this->fold.adopt(ahead));
    EXPECT_EQ(this->fold.generation(), generation_number(2));
    activation_snapshot forged = *this->fold.snapshot();
    forged.as_of = log_offset(50);
    forged.in_force.signatures.clear();
    EXPECT_FALSE(this->fold.adopt(forged));
}

TEST_F(activation_fold_test, records_survive_their_encoding)
{
    const signed_activation item = this->anna.activate(this->fold, part_digest("a"));
    const log_record again = decode_record(encode_record(item));
    this->append(again);
    EXPECT_EQ(this->fold.generation(), generation_number(1));
    const log_record snapshot = decode_record(encode_record(*this->fold.snapshot()));
    EXPECT_EQ(std::get<activation_snapshot>(snapshot).as_of, log_offset(1));
}

} // namespace

} // namespace sailtiller
