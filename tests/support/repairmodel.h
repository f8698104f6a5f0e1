// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <placement/placementcontroller.h>

#include <memory>
#include <optional>
#include <random>

namespace sailtiller::tests {

/// What happens to some engines of a modelled deployment.
struct engine_loss
{
    std::size_t engines = 1; ///< that are lost together, drawn among all
    std::optional<duration> return_time; ///< after the loss; nothing: they are gone for good
    bool returns_under_its_name = false;
    /// An entry that the lost start wrote comes this late; nothing: none does.
    std::optional<duration> late_entry;
};

/// What came of a loss.
struct repair_outcome
{
    std::optional<double> whole_s; ///< from the loss until no group of halls lacks a layer; nothing: never
    /// From the loss until each group passes nine tenths of what it did before, or, if engines are gone for
    /// good, of what a layout made anew on the engines that are left passes; nothing: never.
    std::optional<double> sound_s;
    double end_share = 0; ///< of that rate, of the worst group at the end
    std::size_t loads = 0; ///< begun after the loss
    std::size_t layers_loaded = 0;
    std::size_t lost_layers = 0;
    double least_load_s = 0; ///< the lost layers at full speed, on all engines that take part
};

/// Engines of unlike cards in some halls, with loads that take their time, under a clock of its own; the
/// orders are given by the real `placement_controller`, which sees entries that are half a second old and
/// deaths after a while.
class repair_model
{
public:
    /// Draws a deployment of about so many engines.
    repair_model(std::uint64_t seed, std::size_t engine_count, const placement_aim& aim);

    /// Plays the loss, once the layout stands, and `duration` after it.
    repair_outcome play(const engine_loss& loss);
    /// The cards of each hall.
    [[nodiscard]] std::string describe() const;
    /// What each engine holds, hall by hall.
    [[nodiscard]] std::string describe_layout() const;

private:
    struct engine
    {
        std::string name;
        std::string hall;
        std::string card;
        endpoint address;
        bool is_up = true;
        std::uint64_t born = 0;
        layer_span held;
        layer_span target; ///< held once the load is done
        double layers_left = 0; ///< to load
        std::optional<time_point> dead_known; ///< the hosts believe it dead from then on
    };
    struct pending_entry
    {
        time_point at{};
        discovered_upstream upstream;
        bool is_removal = false;
    };

    void draw_deployment(std::size_t engine_count);
    void run_until(time_point end);
    void step();
    void load(double seconds);
    void take_order(const layer_order& order, const std::function<void(order_result)>& on_result);
    void write_entry(const engine& item, duration later);
    void deliver_entries();
    [[nodiscard]] discovered_upstream describe_engine(const engine& item) const;
    [[nodiscard]] bool is_dead(const upstream_id& id) const;
    [[nodiscard]] std::vector<placeable_engine> list_up() const;
    /// Requests a second through the weakest layer of each group of halls, as the engines hold them now.
    [[nodiscard]] std::vector<double> measure_groups(const std::vector<placeable_engine>& engines,
        const std::vector<std::vector<upstream_id>>& groups) const;
    [[nodiscard]] std::vector<std::vector<upstream_id>> split(
        const std::vector<placeable_engine>& engines) const;

    std::mt19937_64 random;
    placement_aim aim;
    engine_profile profile;
    time_point now{std::chrono::seconds(100)};
    timer_queue timers;
    upstream_directory directory{std::chrono::seconds(2)};
    std::vector<engine> engines;
    std::vector<pending_entry> entries;
    std::unique_ptr<placement_controller> keeper;
    std::size_t loads = 0;
    std::size_t layers_loaded = 0;
};

} // namespace sailtiller::tests
