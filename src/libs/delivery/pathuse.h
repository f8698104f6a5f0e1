// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/pathchooser.h>

namespace sailtiller {

/// Current path of a stream, possibly empty. Counts its work at the engines and in the pipes between halls,
/// and registers it with the stall watch.
class path_use
{
public:
    path_use(delivery_context& context, const path_chooser& chooser)
        : context(context)
        , chooser(chooser)
    {
    }

    /// Records that the request is sent over this path; the first event is awaited.
    void begin(layer_path next);
    /// Records that the running request has moved to this path.
    void change(layer_path next);
    /// Records that an engine has started the request, which shows that every engine of the path is present.
    void note_begun();
    /// Records an event.
    void note_progress();
    /// Returns the time of the stream's last event, or of its sending, if its next event is overdue.
    [[nodiscard]] std::optional<time_point> silent_since() const;
    /// Clears the path.
    void release();

    [[nodiscard]] bool is_empty() const { return this->path.empty(); }
    [[nodiscard]] const layer_path& parts() const { return this->path; }
    /// Returns the engine to which the request was sent; the path must not be empty.
    [[nodiscard]] const path_stage& head() const { return this->path.front(); }
    /// Returns the engine that refused: the engine of the path at this address, otherwise the head.
    [[nodiscard]] const path_stage& find_refusing_stage(const std::optional<endpoint>& at_fault) const;
    [[nodiscard]] bool passes(const upstream_id& id) const;
    /// Returns true if the path behind the head, which can be replaced by a path change, contains one of
    /// these upstreams.
    [[nodiscard]] bool includes_behind_head(const std::set<upstream_id>& ids) const;
    /// Returns true if `next` crosses between halls more often than the current path.
    [[nodiscard]] bool crosses_fewer_halls_than(const layer_path& next) const;
    /// Returns true if an engine behind the head has released layers that it runs for this path.
    [[nodiscard]] bool uses_released_layers() const;

private:
    void add_work();
    void subtract_work();
    [[nodiscard]] std::vector<upstream_id> list_ids() const;

    delivery_context& context;
    const path_chooser& chooser;
    layer_path path;
    std::optional<stall_detector::stream_key> watch_key;
    time_point sent{}; ///< time at which the path was taken
    bool is_served = false; ///< its head serves the request
};

/// Returns the stages of a path in their wire form.
std::vector<stage_endpoint> make_stage_endpoints(const layer_path& path);
/// Returns the addresses and layers of a path for the log.
std::string describe_path(const layer_path& path);

} // namespace sailtiller
