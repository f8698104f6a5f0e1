// SPDX-License-Identifier: Apache-2.0
#include <base/compression.h>
#include <base/error.h>
#include <site/bundleexchange.h>

#include <iterator>

namespace sailtiller {

bundle_exchange::bundle_exchange(bundle_exchange_settings settings, bundle_exchange_hooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
    , budget(settings.max_bytes_per_interval, settings.budget_interval)
{
}

void bundle_exchange::record_holder(const known_host& holder, std::uint64_t version)
{
    if (version <= this->hooks.own_version()) {
        this->holders.erase(holder.id);
        return;
    }
    this->holders[holder.id] = {holder, version};
    if (!this->is_fetching) {
        this->fetch();
    }
}

void bundle_exchange::drop_outdated_holders()
{
    const std::uint64_t own = this->hooks.own_version();
    std::erase_if(this->holders, [own](const auto& item) { return item.second.version <= own; });
}

void bundle_exchange::fetch()
{
    this->drop_outdated_holders();
    this->is_fetching = !this->holders.empty();
    if (!this->is_fetching) {
        return;
    }
    // Chosen at random: hosts that request from the same holder at once would wait for each other.
    const std::size_t drawn = this->hooks.random() % this->holders.size();
    const known_host holder =
        std::next(this->holders.begin(), static_cast<std::ptrdiff_t>(drawn))->second.host;
    this->hooks.ask(holder,
        [this, holder](const std::optional<std::string>& answer) { this->take_answer(holder, answer); });
}

void bundle_exchange::take_answer(const known_host& holder, const std::optional<std::string>& answer)
{
    if (answer) {
        try {
            const std::string text = unpack_text(*answer, this->settings.max_text_bytes);
            this->hooks.take(holder, text);
            if (this->hooks.own_text() == text) {
                this->packed = *answer;
                this->packed_version = this->hooks.own_version();
            }
        } catch (const error& malformed) {
            this->hooks.on_malformed(holder, malformed.reason());
        }
    }
    // A holder that sent nothing or something else is asked again only after it reports the version again.
    this->holders.erase(holder.id);
    this->drop_outdated_holders();
    if (this->holders.empty()) {
        this->is_fetching = false;
        return;
    }
    this->hooks.timers.schedule_after(this->settings.retry_pause, [this] { this->fetch(); });
}

const std::string& bundle_exchange::packed_text()
{
    const std::uint64_t version = this->hooks.own_version();
    if (this->packed_version != version) {
        this->packed = pack_text(this->hooks.own_text());
        this->packed_version = version;
    }
    return this->packed;
}

std::optional<std::string> bundle_exchange::make_answer()
{
    if (this->hooks.own_version() == 0) {
        return std::nullopt;
    }
    const std::string& text = this->packed_text();
    if (!this->budget.has_budget_for(text.size(), this->hooks.timers.now())) {
        return std::nullopt;
    }
    this->budget.record_sent_bytes(text.size());
    return text;
}

} // namespace sailtiller
