// SPDX-License-Identifier: Apache-2.0
#include <runtime/connectionpool.h>
#include <runtime/h2oheaders.h>

#include <algorithm>
#include <iterator>

namespace sailtiller {

connection_pool::connection_pool(event_loop& loop, connection_pool_settings settings)
    : loop(loop)
    , settings(settings)
{
}

connection_pool::~connection_pool()
{
    while (!this->kept.empty()) {
        this->close(this->kept.begin()->first);
    }
}

st_h2o_socket_t* connection_pool::take(const endpoint& target)
{
    const auto found = this->by_target.find(target);
    if (found == this->by_target.end() || found->second.empty()) {
        return nullptr;
    }
    h2o_socket_t* socket = found->second.back();
    this->remove(socket);
    h2o_socket_read_stop(socket);
    return socket;
}

void connection_pool::give(const endpoint& target, st_h2o_socket_t* socket)
{
    std::vector<st_h2o_socket_t*>& list = this->by_target[target];
    if (list.size() >= this->settings.most_kept) {
        h2o_socket_close(socket);
        return;
    }
    auto item = std::make_unique<entry>();
    item->owner = this;
    item->target = target;
    item->socket = socket;
    item->last_used = this->loop.now();
    item->timer =
        this->loop.schedule_after(this->settings.idle_time, [this, socket] { this->close(socket); });
    socket->data = item.get();
    list.push_back(socket);
    this->kept.emplace(socket, std::move(item));
    h2o_socket_read_start(socket, &connection_pool::drop);
}

bool connection_pool::has(const endpoint& target) const
{
    const auto found = this->by_target.find(target);
    return found != this->by_target.end() && !found->second.empty();
}

void connection_pool::drop_idle(const endpoint& target, time_point before)
{
    const auto found = this->by_target.find(target);
    if (found == this->by_target.end()) {
        return;
    }
    std::vector<h2o_socket_t*> idle;
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(idle),
        [this, before](h2o_socket_t* socket) { return this->kept.at(socket)->last_used <= before; });
    for (h2o_socket_t* socket : idle) {
        this->close(socket);
    }
}

void connection_pool::drop(st_h2o_socket_t* socket, const char*)
{
    static_cast<entry*>(socket->data)->owner->close(socket);
}

std::unique_ptr<connection_pool::entry> connection_pool::remove(st_h2o_socket_t* socket)
{
    const auto found = this->kept.find(socket);
    std::unique_ptr<entry> item = std::move(found->second);
    this->kept.erase(found);
    this->loop.cancel(item->timer);
    std::erase(this->by_target[item->target], socket);
    return item;
}

void connection_pool::close(st_h2o_socket_t* socket)
{
    this->remove(socket);
    h2o_socket_close(socket);
}

} // namespace sailtiller
