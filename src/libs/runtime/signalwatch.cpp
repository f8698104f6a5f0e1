// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <runtime/h2oheaders.h>
#include <runtime/signalwatch.h>

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace sailtiller {

signal_watch::signal_watch(
    event_loop& loop, const std::vector<int>& signals, std::function<void(int)> on_signal)
    : on_signal(std::move(on_signal))
{
    sigset_t set{};
    sigemptyset(&set);
    for (const int number : signals) {
        sigaddset(&set, number);
    }
    sigprocmask(SIG_BLOCK, &set, nullptr);
    const int descriptor = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    if (descriptor < 0) {
        throw error({"watch signals", ""}, "the system gave no signal descriptor");
    }
    this->socket = h2o_evloop_socket_create(loop.native(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
    this->socket->data = this;
    h2o_socket_read_start(this->socket, &signal_watch::read_signals);
}

signal_watch::~signal_watch()
{
    h2o_socket_close(this->socket);
}

void signal_watch::read_signals(h2o_socket_t* socket, const char*)
{
    auto* self = static_cast<signal_watch*>(socket->data);
    signalfd_siginfo info{};
    while (read(h2o_socket_get_fd(socket), &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info))) {
        self->on_signal(static_cast<int>(info.ssi_signo));
    }
}

} // namespace sailtiller
