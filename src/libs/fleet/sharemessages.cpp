// SPDX-License-Identifier: Apache-2.0
#include <fleet/cbormessage.h>
#include <fleet/sharemessages.h>

namespace sailtiller {

std::string encode_share_query(const share_query& question)
{
    json demands = json::array();
    for (const share_demand& wish : question.demands) {
        demands.push_back(json::array(
            {wish.account.value(), wish.streams_in_use, wish.streams_wanted, wish.requests_wanted}));
    }
    return to_cbor(json::array({question.holder.value(), demands}));
}

share_query decode_share_query(const std::string& bytes)
{
    return decode_cbor("read share question", bytes, [](const json& item) {
        share_query question;
        question.holder = host_id(item.at(0).get<std::string>());
        for (const json& wish : item.at(1)) {
            question.demands.push_back(
                {client_account_id(wish.at(0).get<std::string>()), wish.at(1).get<std::uint32_t>(),
                    wish.at(2).get<std::uint32_t>(), wish.at(3).get<std::uint32_t>()});
        }
        return question;
    });
}

std::string encode_share_grants(const std::vector<share_grant>& grants)
{
    json list = json::array();
    for (const share_grant& grant : grants) {
        list.push_back(json::array({grant.account.value(), grant.streams, grant.requests}));
    }
    return to_cbor(list);
}

std::vector<share_grant> decode_share_grants(const std::string& bytes)
{
    return decode_cbor("read share grants", bytes, [](const json& list) {
        std::vector<share_grant> grants;
        for (const json& grant : list) {
            grants.push_back({client_account_id(grant.at(0).get<std::string>()),
                grant.at(1).get<std::uint32_t>(), grant.at(2).get<std::uint32_t>()});
        }
        return grants;
    });
}

} // namespace sailtiller
