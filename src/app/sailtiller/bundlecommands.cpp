// SPDX-License-Identifier: Apache-2.0
#include "commands.h"

#include <base/error.h>
#include <bundle/bundlereader.h>
#include <operations/activationplan.h>
#include <operations/bundledifference.h>
#include <runtime/textfile.h>

#include <iostream>

namespace sailtiller {

namespace {

const std::string check_usage = "sailtiller bundle check FILE";
const std::string sign_usage = "sailtiller bundle sign FILE --key KEY --out SIGN-OFF";
const std::string publish_usage = "sailtiller bundle publish FILE";
const std::string activate_usage =
    "sailtiller bundle activate FILE --key KEY --sign-off SIGN-OFF --operator NAME --reason TEXT";
const std::string rollback_usage =
    "sailtiller bundle rollback --to-generation N --key KEY --operator NAME --reason TEXT";
const std::string history_usage = "sailtiller bundle history";
const std::string diff_usage = "sailtiller bundle diff FILE-BEFORE FILE-AFTER";

constexpr std::int64_t most_wait = 3'600'000;
constexpr duration look_interval = std::chrono::milliseconds(200);
constexpr std::int64_t most_generation = INT64_MAX;

bundle load_bundle(const std::string& path)
{
    const bundle_reading reading = read_bundle_text(read_text_file(path));
    if (!reading.is_sound()) {
        std::string text;
        for (const json_fault& fault : reading.faults) {
            text += path + ": " + describe_faults({fault});
        }
        throw error({"check bundle", path}, "not sound\n" + text);
    }
    return reading.content;
}

void declare_log(program_settings& flags)
{
    flags.declare("log-address", "the platform's log service", std::nullopt);
    flags.declare("log-stream", "stream of the log that holds the bundles", "bundles");
    flags.declare("deployment", "name of the fleet", std::nullopt);
    flags.declare_list("trusted-key", "file with an operator's public key");
}

void declare_activation(program_settings& flags)
{
    declare_log(flags);
    flags.declare("key", "file with the private key of the operator who activates", std::nullopt);
    flags.declare("operator", "who activates, for the history", std::nullopt);
    flags.declare("reason", "why, for the history", std::nullopt);
    flags.declare_list("host", "admin address of a host to wait for until the bundle is in force there");
    flags.declare("wait-ms", "how long to wait for the hosts and the log", "18000");
}

trust_settings read_trust(program_settings& flags)
{
    trust_settings trust;
    trust.deployment = flags.text("deployment");
    for (const std::string& path : flags.texts("trusted-key")) {
        trust.keys.push_back(public_key::from_pem(read_text_file(path), path));
    }
    return trust;
}

void use_log(operator_session& session, program_settings& flags)
{
    const endpoint address = flags.address("log-address");
    const std::string stream = flags.text("log-stream");
    flags.require_sound();
    session.use_log(address, stream);
}

int check_bundle_file(const std::vector<std::string>& arguments)
{
    program_settings flags = make_command_settings(check_usage);
    flags.parse(arguments);
    const std::string path = require_argument(flags, "a bundle's file");
    const bundle content = load_bundle(path);
    const bundle_part_set set = cut_into_parts(content);
    std::cout << path << ": sound; bundle " << content.name << ", manifest " << set.manifest.digest << ", "
              << set.parts.size() << " parts\n";
    return exit_ok;
}

int sign_bundle(const std::vector<std::string>& arguments)
{
    program_settings flags = make_command_settings(sign_usage);
    flags.declare("key", "file with the private key of the operator who approves", std::nullopt);
    flags.declare("deployment", "name of the fleet that the bundle is meant for", std::nullopt);
    flags.declare("out", "file for the sign-off", std::nullopt);
    flags.parse(arguments);
    const std::string path = require_argument(flags, "a bundle's file");
    const std::string key_path = flags.text("key");
    const std::string deployment = flags.text("deployment");
    const std::string out = flags.text("out");
    flags.require_sound();
    const private_key key = private_key::from_pem(read_text_file(key_path), key_path);
    const part_digest manifest = cut_into_parts(load_bundle(path)).manifest.digest;
    json sign_off = to_json(key.sign(sign_off_message(deployment, manifest)));
    write_new_text_file(out, sign_off.dump() + "\n", false);
    std::cout << "key " << key.public_part().id() << " approves manifest " << manifest << " for "
              << deployment << "\n";
    return exit_ok;
}

int publish_bundle(const std::vector<std::string>& arguments)
{
    program_settings flags = make_command_settings(publish_usage);
    declare_log(flags);
    flags.parse(arguments);
    const std::string path = require_argument(flags, "a bundle's file");
    operator_session session;
    use_log(session, flags);
    const bundle_part_set set = cut_into_parts(load_bundle(path));
    const std::size_t appended = publish_parts(session, read_trust(flags), set);
    std::cout << "manifest " << set.manifest.digest << " is published; " << appended << " of "
              << set.parts.size() + 1 << " parts were new\n";
    return exit_ok;
}

/// Waits until a host serves under the activation. Returns what it says if it doesn't in time.
std::optional<std::string> wait_for_host(
    operator_session& session, const endpoint& host, const activation_id& id, duration longest)
{
    std::string last = "not asked";
    for (duration spent{}; spent <= longest; spent += look_interval) {
        try {
            const json status = parse_json(session.fetch(host, "/status").body);
            if (status.at("activation") == id.value()) {
                return std::nullopt;
            }
            const auto failure = status.at("failure").get<std::string>();
            last = failure.empty() ? "still at generation " + status.at("generation").dump() : failure;
        } catch (const std::exception& unreachable) {
            last = unreachable.what();
        }
        session.pause(look_interval);
    }
    return last;
}

int wait_for_hosts(operator_session& session, const std::vector<std::string>& hosts, const activation_id& id,
    duration longest)
{
    int exit_code = exit_ok;
    for (const std::string& host : hosts) {
        const std::optional<std::string> problem = wait_for_host(session, endpoint(host), id, longest);
        std::cout << host << ": " << (problem ? "NOT in force: " + *problem : "in force") << "\n";
        exit_code = problem ? exit_failed : exit_code;
    }
    return exit_code;
}

int activate(operator_session& session, program_settings& flags, const trust_settings& trust,
    const log_history& history, activation_wish wish)
{
    const std::string key_path = flags.text("key");
    const duration longest = flags.milliseconds("wait-ms", 0, most_wait);
    wish.deployment = trust.deployment;
    wish.operator_name = flags.text("operator");
    wish.reason = flags.text("reason");
    flags.require_sound();
    const private_key key = private_key::from_pem(read_text_file(key_path), key_path);
    const signed_activation item = make_activation(history, wish, key, make_system_random());
    const activation content = activation_from_statement(item.statement);
    if (!history.fold.is_trusted(content, item)) {
        throw error({"activate", content.id.value()},
            "the trusted keys don't cover the activating key and a sign-off for this deployment; "
            "hosts would ignore it");
    }
    const activation_verdict verdict = append_activation(session, trust, item, longest);
    if (verdict.outcome == activation_outcome::refused) {
        std::cerr << "refused: " << verdict.reason << "; in force is " << verdict.in_force << " by "
                  << verdict.in_force_operator << "\n";
        return exit_failed;
    }
    std::cout << "accepted: generation " << content.generation << ", activation " << content.id << "\n";
    return wait_for_hosts(session, flags.texts("host"), content.id, longest);
}

int activate_bundle(const std::vector<std::string>& arguments)
{
    program_settings flags = make_command_settings(activate_usage);
    declare_activation(flags);
    flags.declare_list("sign-off", "file made by 'bundle sign'");
    flags.parse(arguments);
    const std::string path = require_argument(flags, "a bundle's file");
    operator_session session;
    use_log(session, flags);
    const trust_settings trust = read_trust(flags);
    const bundle content = load_bundle(path);
    const bundle_part_set set = cut_into_parts(content);
    activation_wish wish;
    wish.manifest = set.manifest.digest;
    for (const std::string& file : flags.texts("sign-off")) {
        wish.sign_offs.push_back(signature_from_json(parse_json(read_text_file(file))));
    }
    const std::string approval = sign_off_message(trust.deployment, wish.manifest);
    const std::size_t signers = count_valid_signers(approval, wish.sign_offs, trust.keys);
    if (signers < content.required_sign_offs) {
        throw error({"activate", path},
            "the bundle needs " + std::to_string(content.required_sign_offs)
                + " sign-offs by trusted keys and has " + std::to_string(signers));
    }
    const log_history history = session.read_history(trust);
    if (!unpublished_parts(history, set).empty()) {
        throw error(
            {"activate", path}, "not every part is in the log; run 'sailtiller bundle publish' first");
    }
    return activate(session, flags, trust, history, std::move(wish));
}

int roll_back(const std::vector<std::string>& arguments)
{
    program_settings flags = make_command_settings(rollback_usage);
    declare_activation(flags);
    flags.declare("to-generation", "the generation whose bundle is to be in force again", std::nullopt);
    flags.parse(arguments);
    const auto target = static_cast<std::uint64_t>(flags.integer("to-generation", 1, most_generation));
    operator_session session;
    use_log(session, flags);
    const trust_settings trust = read_trust(flags);
    const log_history history = session.read_history(trust);
    for (const accepted_activation& earlier : history.accepted) {
        if (earlier.content.generation.value() == target) {
            activation_wish wish;
            wish.manifest = earlier.content.manifest;
            wish.sign_offs = earlier.original.sign_offs;
            if (!history.parts.contains(wish.manifest)) {
                throw error({"roll back", std::to_string(target)},
                    "the bundle's manifest has expired from the log; publish its file and activate it");
            }
            return activate(session, flags, trust, history, std::move(wish));
        }
    }
    throw error(
        {"roll back", std::to_string(target)}, "the log holds no such generation; see 'bundle history'");
}

std::string name_of_manifest(const log_history& history, const part_digest& digest)
{
    const auto found = history.manifests.find(digest);
    return found == history.manifests.end() ? "(expired)" : read_manifest(found->second).name;
}

int show_history(const std::vector<std::string>& arguments)
{
    program_settings flags = make_command_settings(history_usage);
    declare_log(flags);
    flags.parse(arguments);
    operator_session session;
    use_log(session, flags);
    const log_history history = session.read_history(read_trust(flags));
    for (const accepted_activation& item : history.accepted) {
        std::cout << "generation " << item.content.generation << "  bundle "
                  << name_of_manifest(history, item.content.manifest) << "  by " << item.content.operator_name
                  << ": " << item.content.reason << "  (" << item.content.id << ")\n";
    }
    const fold_counters& counts = history.fold.counters();
    std::cout << "refused " << counts.refused_activations << ", without a trusted signature "
              << counts.unsigned_records << ", of other deployments " << counts.foreign_records << "\n";
    if (!history.fold.is_complete()) {
        std::cout << "records have expired that no snapshot covers; the list may lack the newest\n";
    }
    return exit_ok;
}

int show_difference(const std::vector<std::string>& arguments)
{
    program_settings flags = make_command_settings(diff_usage);
    flags.parse(arguments);
    if (flags.arguments().size() != 2) {
        throw settings_stop{"sailtiller: expected two files\n", exit_bad_usage};
    }
    const bundle before = load_bundle(flags.arguments()[0]);
    const bundle after = load_bundle(flags.arguments()[1]);
    for (const std::string& line : describe_difference(before, after)) {
        std::cout << line << "\n";
    }
    return exit_ok;
}

} // namespace

std::vector<command> bundle_commands()
{
    return {
        {{"bundle", "check"}, check_usage, "names every fault of a bundle", &check_bundle_file},
        {{"bundle", "sign"}, sign_usage, "approves a bundle for one fleet", &sign_bundle},
        {{"bundle", "publish"}, publish_usage, "appends a bundle's parts to the log", &publish_bundle},
        {{"bundle", "activate"}, activate_usage, "puts a published bundle in force", &activate_bundle},
        {{"bundle", "rollback"}, rollback_usage, "puts an earlier bundle in force again", &roll_back},
        {{"bundle", "history"}, history_usage, "lists the activations that were accepted", &show_history},
        {{"bundle", "diff"}, diff_usage, "lists what differs between two bundles", &show_difference},
    };
}

} // namespace sailtiller
