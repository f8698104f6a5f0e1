// SPDX-License-Identifier: Apache-2.0
#include <placement/hallgroups.h>
#include <placement/layercost.h>

#include <algorithm>
#include <map>
#include <numeric>

namespace sailtiller {

namespace {

/// The engines of one or several joined halls.
struct hall_set
{
    engine_list engines; ///< ordered by hall
    unsigned hall_count = 1;
};

hall_set join(hall_set left, const hall_set& right)
{
    left.engines.insert(left.engines.end(), right.engines.begin(), right.engines.end());
    left.hall_count += right.hall_count;
    return left;
}

/// Groups the halls of one deployment for one plan.
class hall_grouping
{
public:
    hall_grouping(const engine_profile& profile, const placement_aim& aim)
        : profile(profile)
        , min_capacity(aim.min_requests * usual_request_tokens(profile))
        , min_capacity_in_small_hall(aim.min_requests_in_small_hall * usual_request_tokens(profile))
    {
    }

    [[nodiscard]] std::vector<hall_set> run(const std::vector<hall_set>& halls) const
    {
        std::vector<hall_set> groups;
        std::vector<hall_set> tight;
        for (const hall_set& hall : halls) {
            (this->holds_model(hall, this->min_capacity) ? groups : tight).push_back(hall);
        }
        const std::vector<hall_set> apart = this->form_groups(tight, this->min_capacity_in_small_hall);
        const std::vector<hall_set> joined = this->form_groups(tight, this->min_capacity);
        const bool is_better_apart = this->sum_rates(apart) >= this->sum_rates(joined);
        const std::vector<hall_set>& chosen = is_better_apart ? apart : joined;
        groups.insert(groups.end(), chosen.begin(), chosen.end());
        return groups;
    }

private:
    [[nodiscard]] bool holds_model(const hall_set& set, double capacity) const
    {
        return find_max_token_capacity(this->profile, set.engines, 1).value_or(-1) >= capacity;
    }

    [[nodiscard]] double sum_rates(const std::vector<hall_set>& sets) const
    {
        return std::accumulate(sets.begin(), sets.end(), 0.0, [this](double sum, const hall_set& set) {
            return sum + predict_group_rate(this->profile, set.engines, set.hall_count);
        });
    }

    [[nodiscard]] double max_layers_held(const hall_set& set) const
    {
        return std::accumulate(
            set.engines.begin(), set.engines.end(), 0.0, [this](double sum, const placeable_engine* engine) {
                return sum + count_placeable_layers(this->profile, *engine, 0);
            });
    }

    /// Joins halls until each group holds the model with this capacity. The largest hall is joined with the
    /// smallest one that suffices, which leaves the others for more groups.
    [[nodiscard]] std::vector<hall_set> form_groups(std::vector<hall_set> halls, double capacity) const
    {
        std::stable_sort(halls.begin(), halls.end(), [this](const hall_set& left, const hall_set& right) {
            return this->max_layers_held(left) > this->max_layers_held(right);
        });
        std::vector<hall_set> made;
        while (!halls.empty()) {
            hall_set group = halls.front();
            halls.erase(halls.begin());
            while (!this->holds_model(group, capacity) && !halls.empty()) {
                const auto partner = this->find_partner(group, halls, capacity);
                group = join(std::move(group), *partner);
                halls.erase(partner);
            }
            made.push_back(std::move(group));
        }
        return made;
    }

    /// Smallest hall that suffices, or the largest if none does.
    [[nodiscard]] std::vector<hall_set>::iterator find_partner(
        const hall_set& group, std::vector<hall_set>& halls, double capacity) const
    {
        for (auto hall = halls.end(); hall != halls.begin();) {
            --hall;
            if (this->holds_model(join(group, *hall), capacity)) {
                return hall;
            }
        }
        return halls.begin();
    }

    const engine_profile& profile;
    double min_capacity; ///< in tokens, from the aim
    double min_capacity_in_small_hall; ///< in tokens, for a hall that stays separate although its capacity is
                                       ///< small
};

} // namespace

std::vector<engine_list> split_into_hall_groups(
    const engine_profile& profile, const std::vector<placeable_engine>& engines, const placement_aim& aim)
{
    std::map<data_hall_id, hall_set> halls;
    for (const placeable_engine& engine : engines) {
        halls[engine.data_hall].engines.push_back(&engine);
    }
    std::vector<hall_set> sets;
    sets.reserve(halls.size());
    for (auto& [hall, set] : halls) {
        sets.push_back(std::move(set));
    }
    std::vector<engine_list> groups;
    for (hall_set& group : hall_grouping(profile, aim).run(sets)) {
        groups.push_back(std::move(group.engines));
    }
    return groups;
}

} // namespace sailtiller
