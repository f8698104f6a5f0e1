// SPDX-License-Identifier: Apache-2.0
#include <placement/hallgroups.h>
#include <placement/layoutbalance.h>
#include <support/repairmodel.h>

#include <algorithm>
#include <cmath>

namespace sailtiller::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick = milliseconds(50);
constexpr duration look_interval = milliseconds(250);
/// From an engine's change to the keeper's knowledge of it, by way of the store.
constexpr duration entry_delay = milliseconds(400);
/// From a death to the verdict of the host with the duty.
constexpr duration death_delay = milliseconds(500);
/// From a death to the end of its entry: three silent heartbeats.
constexpr duration entry_silence = milliseconds(3600);
constexpr duration settling_time = seconds(60);
constexpr duration played_time = seconds(60);
constexpr double sound_share = 0.9;
constexpr double tick_seconds = std::chrono::duration<double>(tick).count();

struct drawn_card
{
    const char* name;
    card_kind kind;
};

constexpr double layer_mb = 1750;
const std::vector<drawn_card> large_cards = {{"a100", {72'000, 2.4, 3.2}}, {"a100s", {36'000, 3.1, 3.2}}};
const std::vector<drawn_card> small_cards = {
    {"v100", {14'400, 5.3, 7.9}}, {"t4", {14'400, 15, 15}}, {"l4", {21'600, 16, 8.2}}};

engine_profile make_profile()
{
    engine_profile profile;
    profile.model = model_id("m");
    profile.layers = 80;
    profile.layer_mb = layer_mb;
    profile.token_bytes = 590'000;
    profile.step_ms = 1.02;
    profile.prompt_tokens_per_s = 164'000;
    profile.activation_bytes = 29'500;
    profile.hall_pipe_mbps = 16'000;
    profile.load_seconds = 14;
    profile.loads_at_once = 6;
    profile.usual_prompt_tokens = 775;
    profile.usual_answer_tokens = 220;
    profile.request_slots = 192;
    for (const std::vector<drawn_card>& cards : {large_cards, small_cards}) {
        for (const drawn_card& card : cards) {
            profile.kinds[card.name] = card.kind;
        }
    }
    return profile;
}

} // namespace

repair_model::repair_model(std::uint64_t seed, std::size_t engine_count, const placement_aim& aim)
    : random(seed)
    , aim(aim)
    , profile(make_profile())
{
    this->draw_deployment(engine_count);
    placement_controller_settings settings;
    settings.aim = aim;
    placement_controller_hooks hooks;
    hooks.timers = make_timer_hooks(this->timers, [this] { return this->now; });
    hooks.send = [this](const layer_order& order, const std::function<void(order_result)>& on_result) {
        this->take_order(order, on_result);
    };
    hooks.token = [] { return std::optional(fencing_token(1)); };
    hooks.on_fenced = [](fencing_token) {};
    hooks.on_result = [this](const layer_order& order, order_result result) {
        if (result == order_result::gone) {
            this->directory.mark_superseded(order.id, this->now);
        }
    };
    hooks.used_share = [](const engine_profile&, const discovered_upstream&) { return 1.0; };
    hooks.is_dead = [this](const upstream_id& id) { return this->is_dead(id); };
    this->keeper = std::make_unique<placement_controller>(settings, std::move(hooks), this->directory);
}

void repair_model::draw_deployment(std::size_t engine_count)
{
    const auto draw = [this](std::size_t below) { return static_cast<std::size_t>(this->random() % below); };
    const std::size_t halls = std::min<std::size_t>(1 + draw(5), std::max<std::size_t>(1, engine_count / 10));
    const drawn_card& large = large_cards[draw(large_cards.size())];
    for (std::size_t number = 0; number < engine_count; ++number) {
        engine item;
        item.name = "i-" + std::to_string(number);
        item.hall = "hall-" + std::to_string(number % halls);
        // One engine in eight has a large card; few engines only hold the model together if most have.
        const bool is_large = engine_count < 20 ? draw(4) != 0 : draw(8) == 0;
        item.card = is_large ? large.name : small_cards[draw(small_cards.size())].name;
        item.address = endpoint("10.0.0." + std::to_string(number) + ":80");
        item.born = 1;
        this->engines.push_back(item);
        this->write_entry(item, entry_delay);
    }
}

std::string repair_model::describe() const
{
    std::map<std::string, std::map<std::string, int>> counts;
    for (const engine& item : this->engines) {
        ++counts[item.hall][item.card];
    }
    std::string text;
    for (const auto& [hall, cards] : counts) {
        text += " " + hall + ":";
        for (const auto& [card, count] : cards) {
            text += " " + std::to_string(count) + " " + card;
        }
    }
    return text;
}

std::string repair_model::describe_layout() const
{
    std::map<std::string, std::vector<const engine*>> halls;
    for (const engine& item : this->engines) {
        halls[item.hall].push_back(&item);
    }
    std::string text;
    for (auto& [hall, list] : halls) {
        std::sort(list.begin(), list.end(),
            [](const engine* left, const engine* right) { return left->held < right->held; });
        text += hall + ":";
        for (const engine* item : list) {
            text += " " + item->card + (item->is_up ? "" : "(down)") + "=" + std::to_string(item->held.begin)
                + "-" + std::to_string(item->held.end);
        }
        text += "\n";
    }
    return text;
}

discovered_upstream repair_model::describe_engine(const engine& item) const
{
    discovered_upstream upstream;
    upstream.born = start_moment(item.born);
    upstream.id = make_start_id(item.name, upstream.born);
    upstream.service = service_id("llm");
    upstream.address = item.address;
    upstream.data_hall = data_hall_id(item.hall);
    upstream.card = item.card;
    upstream.held = item.held;
    return upstream;
}

void repair_model::write_entry(const engine& item, duration later)
{
    this->entries.push_back({this->now + later, this->describe_engine(item), false});
}

void repair_model::deliver_entries()
{
    std::vector<pending_entry> due;
    std::erase_if(this->entries, [this, &due](const pending_entry& item) {
        const bool is_due = item.at <= this->now;
        if (is_due) {
            due.push_back(item);
        }
        return is_due;
    });
    for (const pending_entry& item : due) {
        if (item.is_removal) {
            this->directory.remove(item.upstream.id, this->now);
        } else {
            this->directory.put(item.upstream, this->now);
        }
    }
}

bool repair_model::is_dead(const upstream_id& id) const
{
    return std::any_of(this->engines.begin(), this->engines.end(), [&](const engine& item) {
        return !item.is_up && item.dead_known && *item.dead_known <= this->now
            && this->describe_engine(item).id == id;
    });
}

void repair_model::take_order(const layer_order& order, const std::function<void(order_result)>& on_result)
{
    const auto found = std::find_if(this->engines.begin(), this->engines.end(),
        [&order](const engine& item) { return item.address == order.address; });
    if (!found->is_up) {
        on_result(order_result::unanswered);
        return;
    }
    if (this->describe_engine(*found).id != order.id) {
        on_result(order_result::gone);
        return;
    }
    if (found->layers_left > 0) {
        on_result(order_result::unfit);
        return;
    }
    const layer_span kept{
        std::max(found->held.begin, order.span.begin), std::min(found->held.end, order.span.end)};
    found->held = kept.is_empty() ? layer_span() : kept;
    found->target = order.span;
    const unsigned layers = order.span.count() - found->held.count();
    found->layers_left = std::max<double>(layers, 1e-6);
    this->loads += layers > 0 ? 1 : 0;
    this->layers_loaded += layers;
    this->write_entry(*found, entry_delay);
    on_result(order_result::begun);
}

void repair_model::load(double seconds_passed)
{
    const auto running = std::count_if(this->engines.begin(), this->engines.end(),
        [](const engine& item) { return item.is_up && item.layers_left > 0; });
    const double crowd = std::max(1.0, static_cast<double>(running) / this->profile.loads_at_once);
    const double layers = seconds_passed * this->profile.layers / this->profile.load_seconds / crowd;
    for (engine& item : this->engines) {
        if (!item.is_up || item.layers_left <= 0) {
            continue;
        }
        item.layers_left -= layers;
        if (item.layers_left <= 0) {
            item.layers_left = 0;
            item.held = item.target;
            this->write_entry(item, entry_delay);
        }
    }
}

void repair_model::step()
{
    this->now += tick;
    this->load(tick_seconds);
    this->deliver_entries();
    this->timers.run_due(this->now);
    this->directory.drop_lapsed(this->now);
    if (this->now.time_since_epoch() % look_interval == duration::zero()) {
        this->keeper->reconcile(this->profile, service_id("llm"));
    }
}

void repair_model::run_until(time_point end)
{
    while (this->now < end) {
        this->step();
    }
}

std::vector<placeable_engine> repair_model::list_up() const
{
    std::vector<placeable_engine> list;
    for (const engine& item : this->engines) {
        if (item.is_up) {
            list.push_back({.id = upstream_id(item.name),
                .data_hall = data_hall_id(item.hall),
                .card = item.card,
                .held = item.held});
        }
    }
    return list;
}

std::vector<std::vector<upstream_id>> repair_model::split(const std::vector<placeable_engine>& list) const
{
    std::vector<std::vector<upstream_id>> groups;
    for (const engine_list& group : split_into_hall_groups(this->profile, list, this->aim)) {
        std::vector<upstream_id>& ids = groups.emplace_back();
        for (const placeable_engine* item : group) {
            ids.push_back(item->id);
        }
    }
    return groups;
}

std::vector<double> repair_model::measure_groups(
    const std::vector<placeable_engine>& list, const std::vector<std::vector<upstream_id>>& groups) const
{
    std::vector<double> rates;
    for (const std::vector<upstream_id>& ids : groups) {
        engine_list group;
        for (const placeable_engine& item : list) {
            if (std::find(ids.begin(), ids.end(), item.id) != ids.end()) {
                group.push_back(&item);
            }
        }
        constexpr double life_ms = 3000;
        rates.push_back(layout_rates(this->profile, group, life_ms).weakest());
    }
    return rates;
}

repair_outcome repair_model::play(const engine_loss& loss)
{
    this->run_until(this->now + settling_time);
    std::vector<std::size_t> lost(this->engines.size());
    for (std::size_t index = 0; index < lost.size(); ++index) {
        lost[index] = index;
    }
    std::shuffle(lost.begin(), lost.end(), this->random);
    lost.resize(std::min(loss.engines, lost.size()));

    repair_outcome outcome;
    const std::vector<placeable_engine> all = this->list_up();
    std::vector<std::vector<upstream_id>> groups = this->split(all);
    std::vector<double> wanted = this->measure_groups(all, groups);
    const time_point lost_at = this->now;
    const auto age = [this, lost_at] { return std::chrono::duration<double>(this->now - lost_at).count(); };
    for (const std::size_t index : lost) {
        engine& item = this->engines[index];
        outcome.lost_layers += item.held.count();
        if (loss.late_entry) {
            this->write_entry(item, *loss.late_entry);
        }
        this->entries.push_back({this->now + entry_silence, this->describe_engine(item), true});
        item.is_up = false;
        item.held = {};
        item.layers_left = 0;
        item.dead_known = this->now + death_delay;
    }
    if (!loss.return_time) {
        const std::vector<placeable_engine> left = this->list_up();
        groups = this->split(left);
        std::vector<placeable_engine> anew = left;
        for (placeable_engine& item : anew) {
            item.held = {};
        }
        for (const placement_step& step : plan_layers(this->profile, anew, this->aim)) {
            for (placeable_engine& item : anew) {
                item.held = item.id == step.id ? step.span : item.held;
            }
        }
        wanted = this->measure_groups(anew, groups);
    }
    this->loads = 0;
    this->layers_loaded = 0;
    bool has_returned = !loss.return_time;
    const time_point end = this->now + played_time;
    while (this->now < end) {
        this->step();
        if (!has_returned && this->now - lost_at >= *loss.return_time) {
            has_returned = true;
            for (const std::size_t index : lost) {
                engine& item = this->engines[index];
                item.is_up = true;
                item.born = 2;
                item.name += loss.returns_under_its_name ? "" : "b";
                this->write_entry(item, entry_delay);
            }
            for (std::vector<upstream_id>& ids : groups) {
                for (upstream_id& id : ids) {
                    for (const std::size_t index : lost) {
                        const std::string& name = this->engines[index].name;
                        id = id.value() + "b" == name ? upstream_id(name) : id;
                    }
                }
            }
        }
        const std::vector<double> rates = this->measure_groups(this->list_up(), groups);
        outcome.end_share = 1e9;
        bool is_whole = true;
        for (std::size_t group = 0; group < rates.size(); ++group) {
            is_whole = is_whole && (rates[group] > 0 || wanted[group] <= 0);
            outcome.end_share =
                std::min(outcome.end_share, wanted[group] <= 0 ? 1 : rates[group] / wanted[group]);
        }
        outcome.whole_s = is_whole ? std::optional(outcome.whole_s.value_or(age())) : std::nullopt;
        const bool is_sound = outcome.end_share >= sound_share;
        outcome.sound_s = is_sound ? std::optional(outcome.sound_s.value_or(age())) : std::nullopt;
    }
    outcome.loads = this->loads;
    outcome.layers_loaded = this->layers_loaded;
    const double streams = std::min<double>(static_cast<double>(lost.size()), this->profile.loads_at_once);
    outcome.least_load_s = static_cast<double>(outcome.lost_layers) * this->profile.load_seconds
        / this->profile.layers / std::max(streams, 1.0);
    return outcome;
}

} // namespace sailtiller::tests
