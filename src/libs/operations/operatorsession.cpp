// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <logservice/logclient.h>
#include <operations/operatorsession.h>

namespace sailtiller {

namespace {

constexpr duration longest_turn = std::chrono::milliseconds(100);
constexpr duration fetch_limit = std::chrono::seconds(3);

/// The accepted activation after a record was read, if the record changed it.
void note_accepted(log_history& history)
{
    const std::optional<accepted_activation>& now = history.fold.in_force();
    const bool is_new =
        now && (history.accepted.empty() || history.accepted.back().content.id != now->content.id);
    if (is_new) {
        history.accepted.push_back(*now);
    }
}

void read_entry(log_history& history, const log_entry& entry)
{
    try {
        const log_record record = decode_record(entry.data);
        history.fold.read(entry.offset, record);
        if (const auto* part = std::get_if<bundle_part>(&record)) {
            history.parts.insert(part->digest);
            history.manifests.emplace(part->digest, part->body);
        }
    } catch (const error&) {
        history.fold.skip(entry.offset); // the hosts count and log it; the operator can't mend it
    }
    note_accepted(history);
}

} // namespace

operator_session::operator_session()
    : client(this->loop, {})
{
}

void operator_session::use_log(const endpoint& address, const std::string& stream)
{
    this->log_name = address.value();
    this->log = make_log_hooks(this->loop, this->client, {.address = address, .stream = stream});
}

void operator_session::run_until(const bool& is_done)
{
    while (!is_done) {
        this->loop.run_once(longest_turn);
    }
}

void operator_session::pause(duration time)
{
    bool is_done = false;
    this->loop.schedule_after(time, [&is_done] { is_done = true; });
    this->run_until(is_done);
}

log_page operator_session::read_page(log_offset from)
{
    bool is_done = false;
    std::optional<log_page> read;
    std::optional<error> problem;
    this->log.read(
        from, duration::zero(),
        [&](log_page page) {
            read = std::move(page);
            is_done = true;
        },
        [&](const error& failure) {
            problem = failure;
            is_done = true;
        });
    this->run_until(is_done);
    if (problem) {
        throw error(*problem);
    }
    return std::move(*read);
}

log_history operator_session::read_history(const trust_settings& trust)
{
    log_history history{activation_fold(trust), {}, {}, {}};
    while (true) {
        const log_page page = this->read_page(history.fold.next_offset());
        history.fold.note_first_retained(page.first_retained);
        if (page.entries.empty()) {
            return history;
        }
        for (const log_entry& entry : page.entries) {
            read_entry(history, entry);
        }
    }
}

std::optional<log_offset> operator_session::append(const std::string& data)
{
    bool is_done = false;
    std::optional<log_offset> appended;
    this->log.append(
        data,
        [&](log_offset offset) {
            appended = offset;
            is_done = true;
        },
        [&](const error&) { is_done = true; });
    this->run_until(is_done);
    return appended;
}

http_response operator_session::fetch(const endpoint& host, const std::string& path)
{
    bool is_done = false;
    http_response answer;
    std::string problem;
    http_request request;
    request.method = "GET";
    request.path = path;
    const timer_id limit = this->loop.schedule_after(fetch_limit, [&] {
        problem = "no answer within the time limit";
        is_done = true;
    });
    const http_client::call_id call = this->client.send(
        host, request,
        [&](http_response response) {
            answer = std::move(response);
            is_done = true;
        },
        [&](const http_failure& failure) {
            problem = failure.step + ": " + failure.reason;
            is_done = true;
        });
    this->run_until(is_done);
    this->loop.cancel(limit);
    this->client.cancel(call);
    if (!problem.empty()) {
        throw error({"ask host", host.value()}, problem);
    }
    return answer;
}

} // namespace sailtiller
