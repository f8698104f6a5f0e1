// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <operations/activationplan.h>

namespace sailtiller {

namespace {

constexpr duration pause_between_looks = std::chrono::milliseconds(200);
constexpr int most_publish_rounds = 5;

} // namespace

signed_activation make_activation(const log_history& history, const activation_wish& wish,
    const private_key& key, const random_function& random)
{
    if (!history.fold.is_complete()) {
        throw error({"read history", ""},
            "records have expired and no snapshot covers them, so what is in force is unknown; "
            "let a host of the fleet reach the log, which appends a snapshot, and try again");
    }
    activation item;
    item.id = activation_id(make_random_id(random));
    item.deployment = wish.deployment;
    item.generation = generation_number(history.fold.generation().value() + 1);
    item.follows = history.fold.in_force() ? history.fold.in_force()->content.id : activation_id();
    item.manifest = wish.manifest;
    item.operator_name = wish.operator_name;
    item.reason = wish.reason;
    signed_activation made;
    made.statement = to_statement(item);
    made.signatures = {key.sign(made.statement)};
    made.sign_offs = wish.sign_offs;
    return made;
}

activation_verdict append_activation(
    operator_session& session, const trust_settings& trust, const signed_activation& item, duration longest)
{
    const activation content = activation_from_statement(item.statement);
    const std::string record = encode_record(item);
    std::string problem = "its answer was lost and the log doesn't show it yet";
    for (duration spent{}; spent < longest; spent += pause_between_looks) {
        session.append(record);
        try {
            const log_history history = session.read_history(trust);
            if (const std::optional<activation_verdict> verdict = history.fold.verdict_of(content.id)) {
                return *verdict;
            }
        } catch (const error& unreadable) {
            problem = unreadable.what();
        }
        session.pause(pause_between_looks);
    }
    throw error({"activate", content.id.value()},
        problem + "; whether it is in force is unknown: run 'bundle history' when the log answers again");
}

std::vector<bundle_part> unpublished_parts(const log_history& history, const bundle_part_set& set)
{
    std::vector<bundle_part> missing;
    for (const bundle_part& part : set.parts) {
        if (!history.parts.contains(part.digest)) {
            missing.push_back(part);
        }
    }
    if (!history.parts.contains(set.manifest.digest)) {
        missing.push_back(set.manifest);
    }
    return missing;
}

std::size_t publish_parts(operator_session& session, const trust_settings& trust, const bundle_part_set& set)
{
    std::size_t appended = 0;
    for (int round = 0; round < most_publish_rounds; ++round) {
        const std::vector<bundle_part> missing = unpublished_parts(session.read_history(trust), set);
        if (missing.empty()) {
            return appended;
        }
        for (const bundle_part& part : missing) {
            appended += session.append(encode_record(part)) ? 1 : 0;
        }
    }
    throw error({"publish bundle", ""}, "the log doesn't take every part; try again when it answers");
}

} // namespace sailtiller
