// SPDX-License-Identifier: Apache-2.0
#pragma once

namespace sailtiller::http_status {

/// The statuses of RFC 9110 that sailtiller gives or looks at.
constexpr int ok = 200;
constexpr int not_modified = 304;
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int method_not_allowed = 405;
constexpr int misdirected = 421;
constexpr int unprocessable = 422;
constexpr int too_many_requests = 429;
constexpr int headers_too_large = 431;
constexpr int internal_error = 500;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

/// A status is one of these; those before the first final one are of heads that precede the answer's own.
constexpr int first = 100;
constexpr int first_final = 200;
constexpr int last = 599;
/// Statuses from here on say that the server failed.
constexpr int first_server_error = 500;

} // namespace sailtiller::http_status
