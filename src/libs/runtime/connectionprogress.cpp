// SPDX-License-Identifier: Apache-2.0
#include <runtime/connectionprogress.h>

// The kernel's own header: the C library's has no counts of bytes, and the two can't be included together.
#include <cstddef>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace sailtiller {

std::optional<connection_progress> read_connection_progress(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    constexpr std::size_t needed = offsetof(tcp_info, tcpi_bytes_received) + sizeof(info.tcpi_bytes_received);
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < needed) {
        return std::nullopt;
    }
    return connection_progress{info.tcpi_bytes_received, info.tcpi_bytes_acked};
}

} // namespace sailtiller
