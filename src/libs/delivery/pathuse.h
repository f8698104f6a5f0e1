// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/pathchooser.h>

namespace sailtiller {

/// The path over which a stream goes now, if it has one: its work is counted at the engines and in the pipes
/// between halls, and the stall watch looks after it.
class path_use
{
public:
    path_use(delivery_context& context, const path_chooser& chooser)
        : context(context)
        , chooser(chooser)
    {
    }

    /// The request goes out over this path; its first event is awaited.
    void begin(layer_path next);
    /// The running request goes on over this path.
    void change(layer_path next);
    /// An engine has begun the request, so every engine of the path is there.
    void note_begun();
    /// An event came.
    void note_progress();
    /// The request goes over no path any more.
    void release();

    [[nodiscard]] bool is_empty() const { return this->path.empty(); }
    [[nodiscard]] const layer_path& parts() const { return this->path; }
    /// The engine to which the request was sent; the path must not be empty.
    [[nodiscard]] const path_part& head() const { return this->path.front(); }
    /// The engine that refused: the one at this address if the path has it, else the head.
    [[nodiscard]] const path_part& find_refusing_stage(const std::optional<endpoint>& at_fault) const;
    [[nodiscard]] bool passes(const upstream_id& id) const;
    /// True if a part that a change of path could replace is one of these; the head always stays.
    [[nodiscard]] bool includes_behind_head(const std::set<upstream_id>& ids) const;
    /// True if that path crosses from hall to hall more often than the present one.
    [[nodiscard]] bool crosses_fewer_halls_than(const layer_path& next) const;
    /// True if an engine behind the head has given up layers that it runs for this path.
    [[nodiscard]] bool uses_released_layers() const;

private:
    void add_work();
    void subtract_work();
    [[nodiscard]] std::vector<upstream_id> list_ids() const;

    delivery_context& context;
    const path_chooser& chooser;
    layer_path path;
    std::optional<stall_watch::stream_key> watch_key;
};

/// The stops of a path, as they go over the wire.
std::vector<stage_endpoint> make_stage_endpoints(const layer_path& path);
/// A path for the log: addresses and layers.
std::string describe_path(const layer_path& path);

} // namespace sailtiller
