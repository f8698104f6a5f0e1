// SPDX-License-Identifier: Apache-2.0
#include <delivery/pathuse.h>

#include <algorithm>

namespace sailtiller {

void path_use::begin(layer_path next)
{
    this->path = std::move(next);
    this->sent = this->context.timers.now();
    this->is_served = false;
    this->add_work();
    this->watch_key = this->context.watch.add(this->list_ids(), this->chooser.expect(this->path));
}

void path_use::change(layer_path next)
{
    this->subtract_work();
    this->path = std::move(next);
    this->add_work();
    this->context.watch.change_path(*this->watch_key, this->list_ids(), this->chooser.expect(this->path));
}

void path_use::note_begun()
{
    this->is_served = true;
    for (const path_stage& part : this->path) {
        this->context.loads.resume(part.id);
    }
}

void path_use::note_progress()
{
    this->context.watch.note_progress(*this->watch_key);
}

std::optional<time_point> path_use::silent_since() const
{
    return this->watch_key ? this->context.watch.silent_since(*this->watch_key) : std::nullopt;
}

void path_use::release()
{
    if (this->is_served && !this->path.empty() && this->context.heads != nullptr) {
        this->context.heads->note_ended(this->context.timers.now() - this->sent);
    }
    this->subtract_work();
    this->path.clear();
    if (this->watch_key) {
        this->context.watch.remove(*this->watch_key);
        this->watch_key.reset();
    }
}

const path_stage& path_use::find_refusing_stage(const std::optional<endpoint>& at_fault) const
{
    const auto found = std::find_if(this->path.begin(), this->path.end(),
        [&at_fault](const path_stage& part) { return part.address == at_fault; });
    return found == this->path.end() ? this->head() : *found;
}

bool path_use::passes(const upstream_id& id) const
{
    return std::any_of(
        this->path.begin(), this->path.end(), [&id](const path_stage& part) { return part.id == id; });
}

bool path_use::includes_behind_head(const std::set<upstream_id>& ids) const
{
    return std::any_of(this->path.begin(), this->path.end(), [this, &ids](const path_stage& part) {
        return part.id != this->head().id && ids.count(part.id) != 0;
    });
}

bool path_use::crosses_fewer_halls_than(const layer_path& next) const
{
    return count_crossings(this->context.directory, this->path)
        < count_crossings(this->context.directory, next);
}

bool path_use::uses_released_layers() const
{
    return std::any_of(this->path.begin(), this->path.end(), [this](const path_stage& part) {
        const directory_entry* entry = this->context.directory.find(part.id);
        return entry != nullptr && part.id != this->path.front().id
            && !entry->upstream.held.contains(part.span);
    });
}

void path_use::add_work()
{
    const double tokens = this->chooser.expected_tokens();
    for (const path_stage& part : this->path) {
        this->context.loads.add(part.id, tokens * part.span.count(), &part == &this->path.front());
    }
    const double bits = this->chooser.crossing_bits();
    const time_point now = this->context.timers.now();
    visit_crossings(
        this->context.directory, this->path, [&](const data_hall_id& from, const data_hall_id& to) {
            this->context.pipes.note(from, to, bits, now);
        });
}

void path_use::subtract_work()
{
    const double tokens = this->chooser.expected_tokens();
    for (const path_stage& part : this->path) {
        this->context.loads.subtract(part.id, tokens * part.span.count(), &part == &this->path.front());
    }
}

std::vector<upstream_id> path_use::list_ids() const
{
    std::vector<upstream_id> ids;
    for (const path_stage& part : this->path) {
        ids.push_back(part.id);
    }
    return ids;
}

std::vector<stage_endpoint> make_stage_endpoints(const layer_path& path)
{
    std::vector<stage_endpoint> stops;
    for (const path_stage& part : path) {
        stops.push_back({part.address, part.span.begin, part.span.end});
    }
    return stops;
}

std::string describe_path(const layer_path& path)
{
    std::string text;
    for (const path_stage& part : path) {
        text += (text.empty() ? "" : ",") + part.address.value() + "=" + std::to_string(part.span.begin) + "-"
            + std::to_string(part.span.end);
    }
    return text;
}

} // namespace sailtiller
