// SPDX-License-Identifier: Apache-2.0
#include <base/compression.h>
#include <fleet/cbormessage.h>
#include <site/entryexchange.h>

namespace sailtiller {

namespace {

std::string pack_records(const std::vector<keyed_record>& records)
{
    json list = json::array();
    for (const keyed_record& record : records) {
        list.push_back(json::array({record.key, write_optional(record.value)}));
    }
    return pack_text(to_cbor(list));
}

std::vector<entry_change> unpack_changes(const std::string& packed, std::size_t most_bytes)
{
    return decode_cbor("read entries", unpack_text(packed, most_bytes), [](const json& list) {
        std::vector<entry_change> changes;
        for (const json& item : list) {
            changes.push_back({item.at(0).get<std::string>(), read_optional<std::string>(item.at(1))});
        }
        return changes;
    });
}

/// `packed` holds the compressed changes.
std::string write_answer(const peer_report& answer, const std::string& packed)
{
    const json bytes = json::binary(std::vector<std::uint8_t>(packed.begin(), packed.end()));
    return to_cbor(json::array({*answer.entries_offset, answer.are_entries_whole,
        write_age(answer.entries_age), write_age(answer.store_disturbed_age), bytes}));
}

peer_report read_answer(const std::string& bytes, std::size_t max_text_bytes)
{
    return decode_cbor("read entries", bytes, [max_text_bytes](const json& item) {
        peer_report answer;
        answer.entries_offset = item.at(0).get<std::uint64_t>();
        answer.are_entries_whole = item.at(1).get<bool>();
        answer.entries_age = read_age(item.at(2));
        answer.store_disturbed_age = read_age(item.at(3));
        const auto& packed = item.at(4).get_binary();
        answer.changes = unpack_changes(std::string(packed.begin(), packed.end()), max_text_bytes);
        return answer;
    });
}

} // namespace

entry_exchange::entry_exchange(
    entry_exchange_settings settings, site_state& knowledge, entry_exchange_hooks hooks)
    : settings(settings)
    , knowledge(knowledge)
    , hooks(std::move(hooks))
    , budget(settings.max_bytes_per_interval, settings.budget_interval)
{
}

void entry_exchange::note_answer(const peer_report& answer)
{
    const std::optional<log_offset>& known = this->knowledge.upstreams_end();
    const bool is_behind = answer.withheld_offset && (!known || *answer.withheld_offset > known->value());
    if (this->is_fetching || !is_behind) {
        return;
    }
    this->is_fetching = true;
    this->hooks.ask(answer.sender, known,
        [this, holder = answer.sender, asked = this->hooks.now()](
            const std::optional<std::string>& bytes) { this->take(holder, bytes, asked); });
}

void entry_exchange::take(const known_host& holder, const std::optional<std::string>& bytes, time_point asked)
{
    this->is_fetching = false;
    if (!bytes) {
        return; // the next report names another host to ask
    }
    try {
        peer_report answer = read_answer(*bytes, this->settings.max_text_bytes);
        answer.sender = holder;
        this->knowledge.take_answer(answer, asked);
        if (const std::optional<log_offset>& end = this->knowledge.upstreams_end()) {
            this->hooks.on_applied(*end);
        }
    } catch (const error& malformed) {
        this->hooks.on_malformed(holder, malformed.reason());
    }
}

std::optional<time_point> entry_exchange::confirmed_at() const
{
    const std::optional<duration> age = this->knowledge.upstreams_age();
    return age ? std::optional(this->hooks.now() - *age) : std::nullopt;
}

const entry_exchange::packed_list& entry_exchange::packed_entries()
{
    const time_point now = this->hooks.now();
    if (!this->list || now - this->list->packed_at >= this->settings.repack_interval) {
        this->list = {pack_records(this->knowledge.entries_since(std::nullopt).records),
            *this->knowledge.upstreams_end(), now, this->confirmed_at()};
    }
    return *this->list;
}

std::optional<std::string> entry_exchange::make_answer(const std::optional<log_offset>& known)
{
    const std::optional<log_offset>& end = this->knowledge.upstreams_end();
    if (!end || (known && *known >= *end)) {
        return std::nullopt;
    }
    const time_point now = this->hooks.now();
    if (!this->budget.has_budget_for(1, now)) {
        return std::nullopt; // checked before the cost of compression
    }
    peer_report answer;
    this->knowledge.fill_report(answer, nullptr);
    answer.are_entries_whole = this->knowledge.lacks_all_entries(known);
    std::string packed;
    if (answer.are_entries_whole) {
        const packed_list& all = this->packed_entries();
        packed = all.packed;
        answer.entries_offset = all.end.value();
        answer.entries_age = all.confirmed ? std::optional(now - *all.confirmed) : std::nullopt;
    } else {
        packed = pack_records(this->knowledge.entries_since(known).records);
    }
    std::string bytes = write_answer(answer, packed);
    this->budget.record_sent_bytes(bytes.size());
    return bytes;
}

std::string encode_entry_question(const std::optional<log_offset>& known)
{
    return to_cbor(json::array({known ? json(known->value()) : json()}));
}

std::optional<log_offset> decode_entry_question(const std::string& bytes)
{
    return decode_cbor("read question for entries", bytes, [](const json& item) {
        const std::optional<std::uint64_t> known = read_optional<std::uint64_t>(item.at(0));
        return known ? std::optional(log_offset(*known)) : std::nullopt;
    });
}

} // namespace sailtiller
