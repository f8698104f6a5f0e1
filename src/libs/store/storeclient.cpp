// SPDX-License-Identifier: Apache-2.0
#include <store/pagecollector.h>
#include <store/storeclient.h>

namespace sailtiller {

namespace {

/// The store no longer has the records that were asked for; an answer to a read, not a failure.
constexpr int gone_status = 410;
/// The topic ends elsewhere by now; an answer to a write under that condition.
constexpr int elsewhere_status = 412;

} // namespace

store_client::store_client(
    event_loop& loop, http_client& client, store_client_settings settings, store_codec codec)
    : loop(loop)
    , client(client)
    , settings(std::move(settings))
    , codec(std::move(codec))
{
}

void store_client::call(const char* step, http_request request, duration limit,
    const std::function<void(const http_response&)>& on_answer, const failure_handler& on_failure,
    const std::vector<int>& accepted)
{
    ++this->calls;
    send_timed(this->loop, this->client,
        {this->settings.address, std::move(request), limit, {step, this->settings.address.value()}, accepted,
            this->settings.max_answer_bytes},
        on_answer, on_failure);
}

void store_client::read_newest(store_topic topic, const std::function<void(const newest_page&)>& on_all,
    const failure_handler& on_failure)
{
    this->read_pages(
        topic, std::make_shared<page_collector>(this->settings.max_newest_bytes), on_all, on_failure);
}

void store_client::read_newest_page(store_topic topic, const std::optional<std::string>& after,
    const std::function<void(const newest_page&)>& on_page, const failure_handler& on_failure)
{
    this->call(
        "read newest records", this->codec.encode_newest(topic, after), this->settings.answer_limit,
        [this, on_page](const http_response& answer) { on_page(this->codec.decode_newest(answer)); },
        on_failure);
}

void store_client::read_pages(store_topic topic, const std::shared_ptr<page_collector>& pages,
    const std::function<void(const newest_page&)>& on_all, const failure_handler& on_failure)
{
    this->read_newest_page(
        topic, pages->continue_after(),
        [this, topic, pages, on_all, on_failure](const newest_page& page) {
            if (const std::optional<std::string> fault = pages->add(page)) {
                on_failure(error({"read newest records", this->settings.address.value()}, *fault));
            } else if (pages->continue_after()) {
                this->read_pages(topic, pages, on_all, on_failure);
            } else {
                on_all(pages->all());
            }
        },
        on_failure);
}

void store_client::read_after(store_topic topic, log_offset from, duration wait,
    const std::function<void(const record_page&)>& on_page, const failure_handler& on_failure)
{
    this->call("read records", this->codec.encode_read(topic, from, wait), wait + this->settings.answer_limit,
        [this, from, on_page](const http_response& answer) {
            if (answer.status == gone_status) {
                record_page page;
                page.is_forgotten = true;
                on_page(page);
                return;
            }
            on_page(this->codec.decode_read(answer, from));
        },
        on_failure, {http_status::ok, gone_status});
}

void store_client::put(store_topic topic, const keyed_record& record, const std::function<void()>& on_done,
    const failure_handler& on_failure)
{
    this->call(
        "write record", this->codec.encode_put(topic, record), this->settings.write_limit,
        [on_done](const http_response&) { on_done(); }, on_failure);
}

void store_client::put_at(store_topic topic, const std::vector<keyed_record>& records, log_offset end,
    const std::function<void(bool was_written)>& on_done, const failure_handler& on_failure)
{
    this->call("write records at end", this->codec.encode_put_at(topic, records, end),
        this->settings.answer_limit,
        [on_done](const http_response& answer) { on_done(answer.status == http_status::ok); }, on_failure,
        {http_status::ok, elsewhere_status});
}

void store_client::join(const host_id& self, duration silence_limit, group_generation last,
    const std::function<void(const group_membership&)>& on_answer, const failure_handler& on_failure)
{
    this->call(
        "join group", this->codec.encode_join(self, silence_limit, last), this->settings.answer_limit,
        [this, on_answer](const http_response& answer) { on_answer(this->codec.decode_join(answer)); },
        on_failure);
}

void store_client::leave(const host_id& self, group_generation last)
{
    this->call(
        "leave group", this->codec.encode_leave(self, last), this->settings.answer_limit,
        [](const http_response&) {}, [](const error&) { /* the group notices the silence by itself */ });
}

} // namespace sailtiller
