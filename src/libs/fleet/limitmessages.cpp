// SPDX-License-Identifier: Apache-2.0
#include <fleet/cbormessage.h>
#include <fleet/limitmessages.h>

namespace sailtiller {

json write_limit_statement(const limit_statement& statement)
{
    const std::optional<double>& rate = statement.requests_per_second;
    return json::array({statement.upstream.value(), rate ? json(*rate) : json(), statement.age.count()});
}

limit_statement read_limit_statement(const json& item)
{
    limit_statement statement;
    statement.upstream = upstream_id(item.at(0).get<std::string>());
    if (!item.at(1).is_null()) {
        statement.requests_per_second = item.at(1).get<double>();
    }
    statement.age = duration(item.at(2).get<duration::rep>());
    return statement;
}

std::string encode_limit_query(const limit_query& question)
{
    return to_cbor(json::array({question.holder.value(), question.uptime.count(),
        write_limit_statement(question.statement), question.wanted}));
}

limit_query decode_limit_query(const std::string& bytes)
{
    return decode_cbor("read limit question", bytes, [](const json& item) {
        limit_query question;
        question.holder = host_id(item.at(0).get<std::string>());
        question.uptime = duration(item.at(1).get<duration::rep>());
        question.statement = read_limit_statement(item.at(2));
        question.wanted = item.at(3).get<unsigned>();
        return question;
    });
}

std::string encode_limit_grant(const limit_grant& grant)
{
    return to_cbor(json::array(
        {grant.is_allocator, grant.granted, grant.wait.count(), write_limit_statement(grant.statement)}));
}

limit_grant decode_limit_grant(const std::string& bytes)
{
    return decode_cbor("read limit grant", bytes, [](const json& item) {
        limit_grant grant;
        grant.is_allocator = item.at(0).get<bool>();
        grant.granted = item.at(1).get<unsigned>();
        grant.wait = duration(item.at(2).get<duration::rep>());
        grant.statement = read_limit_statement(item.at(3));
        return grant;
    });
}

} // namespace sailtiller
