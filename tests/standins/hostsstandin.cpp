// SPDX-License-Identifier: Apache-2.0
#include <standins/hostsstandin.h>

namespace sailtiller::standins {

void hosts_standin::handle(const std::shared_ptr<http_exchange>& exchange)
{
    if (exchange->request().method == "PUT") {
        this->list = exchange->request().body;
    }
    exchange->respond({200, {{"content-type", "application/json"}, {"x-request-id", "standin"}}, this->list});
}

} // namespace sailtiller::standins
