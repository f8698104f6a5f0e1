// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>
#include <base/json.h>
#include <runtime/httpserver.h>

#include <map>
#include <set>

namespace sailtiller::standins {

/// The platform's store by its published protocol: topics of records with keys, waiting reads, and a group
/// that shares out twelve duties. A gate is one way to it; tests shut gates to cut off the hosts behind them.
class platform_store
{
public:
    explicit platform_store(event_loop& loop)
        : loop(loop)
    {
    }

    /// Writes a record as operators and upstreams do; an empty value drops the key.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Drops the records behind the newest of each key, so that older offsets are gone.
    void compact(const std::string& topic);
    /// Everything that the store keeps at a moment.
    struct copy;
    [[nodiscard]] std::shared_ptr<const copy> take_copy() const;
    /// Comes back from a copy: what was written since is gone, a new era begins, and waiting reads are cut
    /// off.
    void restore(const copy& from);
    void handle(const std::shared_ptr<http_exchange>& exchange, const bool& is_open);
    /// The newest value of each key.
    [[nodiscard]] const std::map<std::string, std::string>& newest(const std::string& topic)
    {
        return this->topics[topic].newest;
    }
    [[nodiscard]] std::uint64_t calls() const { return this->call_count; }

private:
    struct record
    {
        std::string key;
        std::string value;
    };

    struct topic_state
    {
        std::uint64_t first = 0;
        std::vector<record> records;
        std::map<std::string, std::string> newest;
    };

    struct waiting_read
    {
        std::shared_ptr<http_exchange> exchange;
        std::string topic;
        std::uint64_t from = 0;
        timer_id timer = 0;
    };

    struct member_state
    {
        std::uint64_t seen = 0;
        time_point heard{};
        duration silence_limit{};
    };

    void read(const std::shared_ptr<http_exchange>& exchange);
    void answer_read(
        const std::shared_ptr<http_exchange>& exchange, const std::string& topic, std::uint64_t from);
    void newest(const std::shared_ptr<http_exchange>& exchange);
    void append(const std::shared_ptr<http_exchange>& exchange);
    void join(const std::shared_ptr<http_exchange>& exchange);
    void leave(const std::shared_ptr<http_exchange>& exchange);
    void drop_silent_members();
    /// Each answer names the era.
    void respond(const std::shared_ptr<http_exchange>& exchange, http_response answer) const;
    void respond_json(const std::shared_ptr<http_exchange>& exchange, const json& body) const;

    event_loop& loop;
    std::uint64_t era = 1;
    std::map<std::string, topic_state> topics;
    std::vector<waiting_read> waiting;
    std::map<std::string, member_state> members;
    std::uint64_t generation = 0;
    std::uint64_t call_count = 0;
};

} // namespace sailtiller::standins
