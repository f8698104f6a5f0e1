// SPDX-License-Identifier: Apache-2.0
#include "siterelay.h"

namespace sailtiller {

namespace {

/// What relay requests carry beyond the headers that a caller may send.
constexpr std::size_t own_header_bytes = 8U << 10U;

http_server_limits add_own_headers(http_server_limits limits)
{
    limits.most_header_bytes += own_header_bytes;
    return limits;
}

} // namespace

site_relay::site_relay(event_loop& loop, http_server_limits limits, relay_service_hooks hooks)
    : service({}, std::move(hooks))
    , server(loop, add_own_headers(limits), std::nullopt,
          [this](const std::shared_ptr<http_exchange>& exchange) { this->service.handle(exchange); })
{
}

void site_relay::start(const endpoint& address)
{
    this->bound = this->server.listen(address);
}

} // namespace sailtiller
