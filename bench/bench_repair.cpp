// SPDX-License-Identifier: Apache-2.0
// How soon a deployment whose engines are lost, and mostly come back empty, holds and carries again what it
// did: the real keeper of layers over modelled engines, under a clock of its own. Prints a table of ways to
// plan.
#include <support/repairmodel.h>

#include <algorithm>
#include <cstdio>
#include <string>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

/// A layout that ends with less of its rate than this is printed.
constexpr double least_end_share = 0.5;

struct way
{
    const char* name;
    placement_aim aim;
};

struct loss_case
{
    const char* name;
    std::size_t engines; ///< of the deployment
    engine_loss loss;
};

double pick(std::vector<double> values, double share)
{
    if (values.empty()) {
        return -1;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void play(const way& chosen, const loss_case& item, unsigned draws)
{
    std::vector<double> whole;
    std::vector<double> sound;
    std::vector<double> end;
    std::vector<double> load;
    std::size_t never = 0;
    std::size_t unsound = 0;
    double loads = 0;
    double layers = 0;
    for (unsigned draw = 0; draw < draws; ++draw) {
        repair_model model(draw + 1, item.engines, chosen.aim);
        const repair_outcome outcome = model.play(item.loss);
        if (outcome.end_share < least_end_share) {
            std::printf(
                "draw %u ends at %.2f:\n%s", draw + 1, outcome.end_share, model.describe_layout().c_str());
        }
        never += outcome.whole_s ? 0 : 1;
        unsound += outcome.sound_s ? 0 : 1;
        if (outcome.whole_s) {
            whole.push_back(*outcome.whole_s);
        }
        if (outcome.sound_s) {
            sound.push_back(*outcome.sound_s);
        }
        end.push_back(outcome.end_share);
        load.push_back(outcome.least_load_s);
        loads += static_cast<double>(outcome.loads);
        layers += static_cast<double>(outcome.layers_loaded)
            / std::max<double>(1, static_cast<double>(outcome.lost_layers));
    }
    std::printf("%-10s %-22s whole %5.1f %5.1f never %2zu | sound %5.1f %5.1f never %2zu | end %4.2f %4.2f | "
                "loads %5.1f, "
                "layers x %4.2f, least %4.1f\n",
        chosen.name, item.name, pick(whole, 0.5), pick(whole, 0.95), never, pick(sound, 0.5),
        pick(sound, 0.95), unsound, pick(end, 0.05), pick(end, 0.5), loads / draws, layers / draws,
        pick(load, 0.5));
}

} // namespace

int run(unsigned draws)
{
    way present{"present", {}};
    present.aim.balances = false;
    const way balanced{"balanced", {}};
    engine_loss returned;
    returned.return_time = 1s;
    returned.late_entry = 2200ms;
    engine_loss same = returned;
    same.returns_under_its_name = true;
    const auto with = [](engine_loss loss, std::size_t engines) {
        loss.engines = engines;
        return loss;
    };
    const std::vector<loss_case> cases = {{"1 of 5 back", 5, with(returned, 1)},
        {"1 of 38 back", 38, with(returned, 1)}, {"3 of 38 back", 38, with(returned, 3)},
        {"3 of 38 same name", 38, with(same, 3)}, {"11 of 38 back", 38, with(returned, 11)},
        {"38 of 38 back", 38, with(returned, 38)}, {"3 of 38 gone", 38, with({}, 3)},
        {"9 of 93 back", 93, with(returned, 9)}, {"28 of 93 back", 93, with(returned, 28)},
        {"9 of 93 gone", 93, with({}, 9)}};
    for (const loss_case& item : cases) {
        for (const way& chosen : {present, balanced}) {
            play(chosen, item, draws);
        }
    }
    return 0;
}

} // namespace sailtiller::tests

int main(int count, char** words)
{
    return sailtiller::tests::run(count > 1 ? static_cast<unsigned>(std::stoul(words[1])) : 20);
}
