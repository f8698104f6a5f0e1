// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/eventloop.h>

#include <vector>

struct st_h2o_socket_t;

namespace sailtiller {

/// Turns signals into calls on the loop. The signals are blocked for the process as long as the watch lives.
class signal_watch
{
public:
    signal_watch(event_loop& loop, const std::vector<int>& signals, std::function<void(int)> on_signal);
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

private:
    static void read_signals(st_h2o_socket_t* socket, const char* failure);

    std::function<void(int)> on_signal;
    st_h2o_socket_t* socket;
};

} // namespace sailtiller
