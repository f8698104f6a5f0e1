// SPDX-License-Identifier: Apache-2.0
#include <routing/loadtable.h>

namespace sailtiller {

load_table::load_table(breaker_settings settings)
    : settings(settings)
{
}

std::shared_ptr<upstream_load> load_table::load_of(const upstream_id& name)
{
    std::shared_ptr<upstream_load>& load = this->loads[name];
    if (!load) {
        load = std::make_shared<upstream_load>(this->settings);
    }
    return load;
}

void load_table::drop_unused()
{
    std::erase_if(this->loads, [](const auto& entry) { return entry.second.use_count() == 1; });
}

} // namespace sailtiller
