// SPDX-License-Identifier: Apache-2.0
#include <gateway/stopadmission.h>

#include <set>

namespace sailtiller {

namespace {

std::string write_milliseconds(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
}

} // namespace

taken_request::taken_request(const delivery_order& order)
    : id(order.request.id)
    , route(order.route->name)
    , arrived(order.arrived)
    , is_rest(order.request.last_event.has_value())
{
}

bool stop_admission::takes_nothing(time_point now) const
{
    return this->times && now >= this->times->grace_end;
}

std::optional<std::string> stop_admission::find_objection(const delivery_order& order, time_point now) const
{
    if (!this->times) {
        return std::nullopt;
    }
    if (this->takes_nothing(now)) {
        return "this host stops and takes nothing more";
    }
    // Whoever has been sent away or cut off once isn't sent away again.
    if (order.has_come_back() || order.deadline() <= this->times->limit) {
        return std::nullopt;
    }
    const std::optional<duration> usual = this->durations.usual_longest(order.route->name);
    if (!usual || now + *usual <= this->times->limit) {
        return std::nullopt;
    }
    return "this host stops before the answer is expected to end";
}

void stop_admission::note_ended(const taken_request& request, time_point now)
{
    // The rest of a stream that broke off elsewhere tells nothing about whole ones.
    if (!request.is_rest) {
        this->durations.note(request.route, now - request.arrived);
    }
}

std::string stop_admission::describe_cut(const taken_request& request, time_point now) const
{
    const std::string run = "this host stops; it ran for " + write_milliseconds(now - request.arrived);
    if (!this->times || request.arrived < this->times->begun) {
        return run + " and was taken before the signal";
    }
    return run + " and was taken " + write_milliseconds(request.arrived - this->times->begun)
        + " after the signal";
}

void stop_admission::take_bundle(const site_bundle& bundle)
{
    std::set<std::string_view> names;
    for (const service_route& route : bundle.routes) {
        names.insert(route.name);
    }
    this->durations.forget([&names](const std::string& name) { return names.count(name) != 0; });
}

} // namespace sailtiller
