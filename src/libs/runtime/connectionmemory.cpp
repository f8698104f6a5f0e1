// SPDX-License-Identifier: Apache-2.0
#include <runtime/connectionmemory.h>
#include <runtime/connectionprogress.h>

#include <algorithm>
#include <utility>

namespace sailtiller {

namespace {

/// What a request over HTTP/2 costs beside its bytes while it isn't whole.
constexpr std::size_t stream_bytes = std::size_t{8} << 10U;
/// Bytes a second that a host can't read any faster.
constexpr double most_read_bytes_per_second = 2e9;
constexpr duration shortest_count_interval = std::chrono::milliseconds(1);
constexpr duration longest_count_interval = std::chrono::milliseconds(250);
/// A caller of whose answer nothing leaves for so long isn't reading it. One that reads slowly takes some of
/// it within each second.
constexpr duration unread_answer_time = std::chrono::seconds(2);
/// Requests of one moment give way by their sizes alone.
constexpr duration least_age = std::chrono::milliseconds(50);

struct holder
{
    h2o_socket_t* socket = nullptr;
    std::size_t bytes = 0;
    double byte_seconds = 0;
};

double byte_seconds(std::size_t bytes, duration age)
{
    return static_cast<double>(bytes) * std::chrono::duration<double>(std::max(age, least_age)).count();
}

} // namespace

connection_memory::connection_memory(std::shared_ptr<memory_budget> budget)
    : shared_budget(std::move(budget))
{
}

void connection_memory::set_counted(connection_entry& entry, std::size_t bytes)
{
    this->shared_budget->add(bytes);
    this->shared_budget->give_back(entry.counted_bytes);
    entry.counted_bytes = bytes;
}

void connection_memory::count(h2o_socket_t& socket, connection_entry& entry, time_point now)
{
    const bool has_answer = entry.unread_answer_bytes > 0;
    std::optional<connection_progress> progress;
    if (entry.is_http2 || has_answer) {
        progress = read_connection_progress(h2o_socket_get_fd(&socket));
    }
    std::size_t bytes = 0;
    if (entry.is_http2) {
        // The bodies lie where only h2o sees them: what came since no request was open stands for them.
        const std::uint64_t received = progress ? progress->received_bytes : entry.whole_until;
        entry.whole_until = entry.open_streams == 0 ? received : std::min(received, entry.whole_until);
        bytes = received - entry.whole_until + entry.open_streams * stream_bytes;
    } else {
        bytes = socket.input->size - std::min(socket.input->size, entry.discarded_bytes);
    }
    this->set_counted(entry, bytes);
    if (bytes == 0 || !entry.counted_since) {
        entry.counted_since = now;
    }
    if (!has_answer || !progress || progress->acknowledged_bytes != entry.taken_before) {
        entry.taken_before = progress ? progress->acknowledged_bytes : 0;
        entry.unread_since = now;
    }
}

void connection_memory::note_whole_request(connection_entry& entry, std::size_t bytes)
{
    if (entry.is_http2) {
        entry.whole_until += bytes;
        this->set_counted(entry, entry.counted_bytes - std::min(entry.counted_bytes, bytes));
        return;
    }
    this->set_counted(entry, 0);
    entry.counted_since.reset();
}

void connection_memory::forget(connection_entry& entry)
{
    this->set_counted(entry, 0);
}

duration connection_memory::time_to_next_count(std::size_t most_bytes) const
{
    const std::size_t left = most_bytes - std::min(most_bytes, this->shared_budget->held());
    const std::chrono::duration<double> time(static_cast<double>(left) / most_read_bytes_per_second);
    return std::clamp(
        std::chrono::duration_cast<duration>(time), shortest_count_interval, longest_count_interval);
}

std::vector<h2o_socket_t*> connection_memory::find_excess(
    const std::set<h2o_socket_t*>& connections, std::size_t most_bytes, time_point now) const
{
    const std::size_t held = this->shared_budget->held();
    if (held <= most_bytes) {
        return {};
    }
    // Small ones stay as long as there is room for one more of them.
    const bool has_room = held + small_share_bytes <= this->shared_budget->max_bytes();
    const std::size_t least_bytes = has_room ? small_share_bytes + 1 : 1;
    std::vector<holder> holders;
    for (h2o_socket_t* socket : connections) {
        const auto& entry = *static_cast<const connection_entry*>(socket->on_close.data);
        holder item{socket};
        if (entry.is_http2 || entry.open_requests == 0) {
            item.bytes = entry.counted_bytes;
            item.byte_seconds = byte_seconds(item.bytes, now - entry.counted_since.value_or(now));
        }
        if (now - entry.unread_since >= unread_answer_time) {
            item.bytes += entry.unread_answer_bytes;
            item.byte_seconds += byte_seconds(entry.unread_answer_bytes, now - entry.unread_since);
        }
        if (item.bytes >= least_bytes) {
            holders.push_back(item);
        }
    }
    std::sort(holders.begin(), holders.end(),
        [](const holder& left, const holder& right) { return left.byte_seconds > right.byte_seconds; });
    std::vector<h2o_socket_t*> excess;
    std::size_t freed = 0;
    for (const holder& item : holders) {
        if (held - std::min(held, freed) <= most_bytes) {
            break;
        }
        excess.push_back(item.socket);
        freed += item.bytes;
    }
    return excess;
}

} // namespace sailtiller
