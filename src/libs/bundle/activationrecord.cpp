// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <bundle/activationrecord.h>
#include <bundle/digest.h>

namespace sailtiller {

namespace {

json signatures_to_json(const std::vector<signature>& items)
{
    json list = json::array();
    for (const signature& item : items) {
        list.push_back(to_json(item));
    }
    return list;
}

std::vector<signature> signatures_from_json(const json& list)
{
    std::vector<signature> items;
    for (const json& item : list) {
        items.push_back(signature_from_json(item));
    }
    return items;
}

/// Runs a decoder and turns the JSON library's exceptions into ours.
template <typename Decode>
auto decode_or_throw(const char* step, const Decode& decode)
{
    try {
        return decode();
    } catch (const json::exception& malformed) {
        throw error({step, ""}, std::string("malformed: ") + malformed.what());
    }
}

log_record record_from_json(const json& text)
{
    const std::string type = text.at("type").get<std::string>();
    if (type == "part") {
        std::string body = text.at("body").get<std::string>();
        part_digest digest = digest_of(body);
        return bundle_part{std::move(digest), std::move(body)};
    }
    if (type == "activation") {
        return signed_activation_from_json(text.at("activation"));
    }
    if (type == "snapshot") {
        return activation_snapshot_from_json(text.at("snapshot"));
    }
    throw error({"read log record", ""}, "unknown type " + type);
}

struct record_encoder
{
    json operator()(const bundle_part& part) const { return {{"type", "part"}, {"body", part.body}}; }
    json operator()(const signed_activation& item) const
    {
        return {{"type", "activation"}, {"activation", to_json(item)}};
    }
    json operator()(const activation_snapshot& item) const
    {
        return {{"type", "snapshot"}, {"snapshot", to_json(item)}};
    }
};

} // namespace

std::string sign_off_message(const std::string& deployment, const part_digest& manifest)
{
    return "sailtiller sign-off\n" + deployment + "\n" + manifest.value();
}

std::string to_statement(const activation& item)
{
    const json text = {
        {"id", item.id.value()},
        {"deployment", item.deployment},
        {"generation", item.generation.value()},
        {"follows", item.follows.value()},
        {"manifest", item.manifest.value()},
        {"operator", item.operator_name},
        {"reason", item.reason},
    };
    return text.dump();
}

activation activation_from_statement(const std::string& statement)
{
    return decode_or_throw("read activation", [&statement] {
        const json text = parse_json(statement);
        activation item;
        item.id = activation_id(text.at("id").get<std::string>());
        item.deployment = text.at("deployment").get<std::string>();
        item.generation = generation_number(text.at("generation").get<std::uint64_t>());
        item.follows = activation_id(text.at("follows").get<std::string>());
        item.manifest = part_digest(text.at("manifest").get<std::string>());
        item.operator_name = text.at("operator").get<std::string>();
        item.reason = text.at("reason").get<std::string>();
        return item;
    });
}

json to_json(const signed_activation& item)
{
    return {
        {"statement", item.statement},
        {"signatures", signatures_to_json(item.signatures)},
        {"sign_offs", signatures_to_json(item.sign_offs)},
    };
}

json to_json(const activation_snapshot& item)
{
    return {{"as_of", item.as_of.value()}, {"in_force", to_json(item.in_force)}};
}

signed_activation signed_activation_from_json(const json& item)
{
    return decode_or_throw("read signed activation", [&item] {
        return signed_activation{item.at("statement").get<std::string>(),
            signatures_from_json(item.at("signatures")), signatures_from_json(item.at("sign_offs"))};
    });
}

activation_snapshot activation_snapshot_from_json(const json& item)
{
    return decode_or_throw("read activation snapshot", [&item] {
        return activation_snapshot{log_offset(item.at("as_of").get<std::uint64_t>()),
            signed_activation_from_json(item.at("in_force"))};
    });
}

std::string encode_record(const log_record& record)
{
    return std::visit(record_encoder{}, record).dump();
}

log_record decode_record(std::string_view text)
{
    return decode_or_throw("read log record", [text] { return record_from_json(parse_json(text)); });
}

} // namespace sailtiller
