// SPDX-License-Identifier: Apache-2.0
#include <base/json.h>
#include <standins/servicestandin.h>

namespace sailtiller::standins {

void service_standin::handle(const std::shared_ptr<http_exchange>& exchange)
{
    ++this->call_count;
    const http_headers headers{{"content-type", "application/json"}, {"x-request-id", "standin"}};
    if (this->answers_to_break > 0) {
        --this->answers_to_break;
        exchange->start(200, headers);
        exchange->abort();
        return;
    }
    const http_request& request = exchange->request();
    const json body = {{"method", request.method}, {"path", request.path}, {"body", request.body},
        {"call", this->call_count}};
    exchange->respond({this->status, headers, body.dump()});
}

} // namespace sailtiller::standins
