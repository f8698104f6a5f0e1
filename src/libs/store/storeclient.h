// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/timedcall.h>
#include <store/storetypes.h>

namespace sailtiller {

/// Where the store is and how long it is waited for.
struct store_client_settings
{
    endpoint address;
    /// A slow store takes a quarter of a second for an answer; more is an outage.
    duration answer_limit = std::chrono::milliseconds(1000);
    /// The store writes the records of a topic one after the other: those of 1,000 hosts that start together
    /// take two seconds.
    duration write_limit = std::chrono::milliseconds(3000);
    /// Largest body of an answer. The store gives a megabyte of records to a read, and one record more, which
    /// their encoding makes a third longer; stores of other deployments may be set to give more.
    std::size_t max_answer_bytes = std::size_t{8} << 20U;
    /// Largest sum of the keys and values of a topic's newest records. Ten thousand upstreams have entries of
    /// a few megabytes in all, and a host has 160 MB of memory or more.
    std::size_t max_newest_bytes = std::size_t{32} << 20U;
};

class page_collector;

/// Calls to the platform's store, each bounded in time. Failures are `error`s with step and peer.
class store_client
{
public:
    using failure_handler = std::function<void(const error&)>;

    store_client(event_loop& loop, http_client& client, store_client_settings settings, store_codec codec);

    /// Reads the newest record of every key, page after page. Fails if the pages don't come to an end.
    void read_newest(store_topic topic, const std::function<void(const newest_page&)>& on_all,
        const failure_handler& on_failure);
    /// Reads the newest record of each key of one page, the first one or the one that follows a key.
    void read_newest_page(store_topic topic, const std::optional<std::string>& after,
        const std::function<void(const newest_page&)>& on_page, const failure_handler& on_failure);
    /// Reads records from an offset; waits up to `wait` for one if there is none.
    void read_after(store_topic topic, log_offset from, duration wait,
        const std::function<void(const record_page&)>& on_page, const failure_handler& on_failure);
    /// Writes a record; one without a value drops its key.
    void put(store_topic topic, const keyed_record& record, const std::function<void()>& on_done,
        const failure_handler& on_failure);
    /// Writes records, all or none, if the topic still ends at that offset, so that nobody has written since
    /// it was read. Tells whether they were written; after a failure they may have been.
    void put_at(store_topic topic, const std::vector<keyed_record>& records, log_offset end,
        const std::function<void(bool was_written)>& on_done, const failure_handler& on_failure);
    /// Joins the group of hosts that share out duties, or stays in it.
    void join(const host_id& self, duration silence_limit, group_generation last,
        const std::function<void(const group_membership&)>& on_answer, const failure_handler& on_failure);
    /// Leaves the group; a failure isn't told, as the group notices the silence.
    void leave(const host_id& self, group_generation last);
    /// Calls made since the start.
    [[nodiscard]] std::uint64_t calls_made() const { return this->calls; }

private:
    void call(const char* step, http_request request, duration limit,
        const std::function<void(const http_response&)>& on_answer, const failure_handler& on_failure,
        const std::vector<int>& accepted = {http_status::ok});
    void read_pages(store_topic topic, const std::shared_ptr<page_collector>& pages,
        const std::function<void(const newest_page&)>& on_all, const failure_handler& on_failure);

    event_loop& loop;
    http_client& client;
    store_client_settings settings;
    store_codec codec;
    std::uint64_t calls = 0;
};

} // namespace sailtiller
