// SPDX-License-Identifier: Apache-2.0
// Random schedules of concurrent operators, hosts, peers, expiry and restarts for the fold of activations.
// The number of schedules and the seed come from RC_PARAMS; scripts/schedules.sh runs a hundred thousand.
#include <bundle/activationfold.h>
#include <support/sampleactivation.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace sailtiller {

namespace {

using tests::sample_operator;

constexpr std::size_t host_count = 3;

/// Key pairs are costly to make, so all schedules share them.
struct operators
{
    sample_operator anna{"anna"};
    sample_operator bipin{"bipin"};
    sample_operator stranger{"stranger"};
    trust_settings trust = tests::trust_in({&this->anna, &this->bipin});

    sample_operator& at(unsigned number) { return number % 2 == 0 ? this->anna : this->bipin; }
};

operators& shared_operators()
{
    static operators item;
    return item;
}

/// A log whose records expire, with an undisturbed reader who sees every record when it is appended.
class schedule_log
{
public:
    explicit schedule_log(const trust_settings& trust)
        : reference(trust)
    {
        this->note_state();
    }

    void append(const log_record& record)
    {
        this->records.push_back(record);
        this->reference.read(log_offset(this->records.size() - 1), record);
        this->note_state();
    }

    void expire(std::size_t count) { this->first = std::min(this->first + count, this->records.size()); }

    /// Lets a fold read up to `most` records.
    void feed(activation_fold& fold, std::size_t most) const
    {
        fold.note_first_retained(log_offset(this->first));
        for (std::size_t read = 0; read < most && fold.next_offset().value() < this->records.size(); ++read) {
            const log_offset offset = fold.next_offset();
            fold.read(offset, this->records[offset.value()]);
        }
    }

    /// The activation in force after all records before the offset.
    [[nodiscard]] const std::string& state_at(log_offset offset) const
    {
        return this->states[offset.value()];
    }
    [[nodiscard]] bool was_ever_in_force(const std::string& id) const
    {
        return std::find(this->states.begin(), this->states.end(), id) != this->states.end();
    }
    [[nodiscard]] const activation_fold& truth() const { return this->reference; }

    static std::string id_in_force(const activation_fold& fold)
    {
        return fold.in_force() ? fold.in_force()->content.id.value() : "";
    }

private:
    void note_state() { this->states.push_back(id_in_force(this->reference)); }

    activation_fold reference;
    std::vector<log_record> records;
    std::vector<std::string> states;
    std::size_t first = 0;
};

/// A host or an operator's program: a fold, and a record that is made and not yet appended.
struct participant
{
    explicit participant(const trust_settings& trust)
        : fold(trust)
    {
    }

    activation_fold fold;
    std::optional<log_record> delayed;
    std::uint64_t highest_generation = 0;
};

/// Everything that one schedule needs; each step is followed by a check of the invariants.
class schedule
{
public:
    schedule()
    {
        for (std::size_t index = 0; index < host_count; ++index) {
            this->hosts.emplace_back(this->people.trust);
        }
        for (std::size_t index = 0; index < 2; ++index) {
            this->tools.emplace_back(this->people.trust);
        }
    }

    void run(unsigned action, unsigned who, unsigned amount)
    {
        participant& host = this->hosts[who % host_count];
        participant& tool = this->tools[who % this->tools.size()];
        switch (action % 11) {
        case 0: // an operator reads the whole log and activates at once
            this->make_activation(tool, who, amount);
            this->append_delayed(tool);
            break;
        case 1: // an operator reads and decides, and appends later
            this->make_activation(tool, who, amount);
            break;
        case 2: // what was decided before is appended now
            this->append_delayed(tool);
            break;
        case 3: // an append whose answer was lost is made again
            if (tool.delayed) {
                this->log.append(*tool.delayed);
                this->append_delayed(tool);
            }
            break;
        case 4:
        case 5:
            this->log.feed(host.fold, 1 + amount % 8);
            break;
        case 6: // the host restarts and remembers nothing
            host = participant(this->people.trust);
            break;
        case 7: // a host renews its state, or pauses before it does
            if (const std::optional<activation_snapshot> state = host.fold.snapshot()) {
                host.delayed = *state;
            }
            break;
        case 8:
            this->append_delayed(host);
            break;
        case 9: // a host takes the state of a peer
            if (const auto state = this->hosts[(who + 1 + amount) % host_count].fold.snapshot()) {
                host.fold.adopt(*state);
            }
            break;
        default:
            this->expire_or_forge(who, amount);
        }
        this->check();
    }

private:
    void make_activation(participant& tool, unsigned who, unsigned amount)
    {
        this->log.feed(tool.fold, amount % 4 == 0 ? 3 : 1000); // some read too little before they decide
        if (tool.fold.is_complete()) {
            const signed_activation item =
                this->people.at(who).activate(tool.fold, part_digest("bundle-" + std::to_string(amount)));
            this->made.push_back(activation_from_statement(item.statement).id);
            tool.delayed = item;
        }
    }

    void append_delayed(participant& item)
    {
        if (item.delayed) {
            this->log.append(*item.delayed);
            item.delayed.reset();
        }
    }

    void expire_or_forge(unsigned who, unsigned amount)
    {
        if (who % 2 == 0) {
            this->log.expire(amount % 6);
            return;
        }
        this->log.append(this->people.stranger.activate(this->log.truth(), part_digest("forged")));
    }

    void check()
    {
        for (participant& host : this->hosts) {
            this->check_participant(host);
        }
        for (participant& tool : this->tools) {
            this->check_participant(tool);
        }
    }

    void check_participant(participant& item) const
    {
        const std::string in_force = schedule_log::id_in_force(item.fold);
        RC_ASSERT(item.fold.generation().value() >= item.highest_generation);
        item.highest_generation = item.fold.generation().value();
        if (item.fold.is_complete()) {
            RC_ASSERT(in_force == this->log.state_at(item.fold.next_offset()));
        }
        RC_ASSERT(this->log.was_ever_in_force(in_force));
        this->check_verdict(item);
    }

    /// Every reported verdict equals that of the whole log, so an activation reported as accepted is accepted
    /// everywhere.
    void check_verdict(const participant& item) const
    {
        for (const activation_id& id : this->made) {
            if (const std::optional<activation_verdict> told = item.fold.verdict_of(id)) {
                const std::optional<activation_verdict> truth = this->log.truth().verdict_of(id);
                RC_ASSERT(truth.has_value());
                RC_ASSERT(truth->outcome == told->outcome);
            }
        }
    }

    operators& people = shared_operators();
    schedule_log log{this->people.trust};
    std::vector<participant> hosts;
    std::vector<participant> tools;
    std::vector<activation_id> made;
};

TEST(bundle_schedules, keep_every_invariant)
{
    using step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;
    const bool holds = rc::check("all hosts agree and none goes back", [] {
        const auto steps = *rc::gen::container<std::vector<step>>(rc::gen::arbitrary<step>());
        schedule item;
        for (const auto& [action, who, amount] : steps) {
            item.run(action, who, amount);
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace

} // namespace sailtiller
