// SPDX-License-Identifier: Apache-2.0
#include <base/random.h>
#include <standins/hostsstandin.h>

namespace sailtiller::standins {

void hosts_standin::handle(const std::shared_ptr<http_exchange>& exchange)
{
    if (exchange->request().method == "PUT") {
        this->list = exchange->request().body;
    }
    const std::string version = std::to_string(stable_hash(this->list));
    const bool is_known = find_header(exchange->request().headers, "if-none-match") == version;
    this->whole_answers += is_known ? 0 : 1;
    exchange->respond({is_known ? 304 : 200,
        {{"content-type", "application/json"}, {"etag", version}, {"x-request-id", "standin"}},
        is_known ? "" : this->list});
}

} // namespace sailtiller::standins
