// SPDX-License-Identifier: Apache-2.0
#pragma once

// h2o's headers are C and don't meet our warning settings; they are included only through this file.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wold-style-cast"
#pragma GCC diagnostic ignored "-Wconversion"
#pragma GCC diagnostic ignored "-Wsign-conversion"
#pragma GCC diagnostic ignored "-Wshadow"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/http2.h>
#pragma GCC diagnostic pop

namespace sailtiller {

/// Versions of the protocol as h2o writes them.
constexpr int first_http2_version = 0x200;
constexpr int first_version_with_chunks = 0x101;

} // namespace sailtiller
