// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/httpmessage.h>
#include <runtime/h2oheaders.h>

#include <string>

namespace sailtiller {

/// An answer that is made without the handler, in the shape that callers' programs parse.
http_response make_rejection(int status, const char* outcome);

/// A whole answer over HTTP/1.1 to a request that isn't whole and has not run; the connection ends with it.
std::string write_rejection(int status);

/// Puts our body into an answer that h2o made by itself; `slot` is where the answer's next filter goes.
void set_up_rejection(h2o_req_t* request, h2o_ostream_t**& slot);

} // namespace sailtiller
