// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>
#include <runtime/httpserver.h>
#include <standins/platformstore.h>

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace sailtiller::standins {

class path_engine;

/// A caller's request that came to an engine or service.
struct request_arrival
{
    std::string request; ///< its id
    time_point at{};
};

/// A refusal of an engine or service that asked for a pause.
struct refused_arrival
{
    std::string upstream;
    std::string request; ///< its id
    time_point at{};
    duration pause{};
};

/// All engines of a site, which pass streams on among themselves, and what came of the requests.
struct engine_world
{
    unsigned layers = 8;
    unsigned stream_events = 40;
    /// Id of the first event of a stream; a whole number of 64 bits that a double would round.
    std::uint64_t first_event_id = std::numeric_limits<std::uint64_t>::max() - 100'000;
    duration event_interval = std::chrono::milliseconds(5);
    std::map<std::string, path_engine*> by_address; ///< those that are alive
    std::map<std::string, std::multiset<unsigned>> events_made; ///< indexes of events by request
    std::map<std::string, unsigned> runs; ///< by request
    std::set<std::string> accounts_seen;
    unsigned order_faults = 0; ///< tokens made by a path that did not run every layer once, in order
    unsigned orders = 0;
    std::uint64_t highest_token = 0;
    /// A request with this body ends each engine or service that begins it; nothing if there is none.
    std::optional<std::string> fatal_body;
    /// A prompt that holds this part before its last one does the same, whatever else the request holds;
    /// nothing if there is none.
    std::optional<std::string> fatal_part;
    duration time_to_crash = std::chrono::milliseconds(30);
    duration time_to_restart = std::chrono::milliseconds(500);
    std::vector<time_point> crashes; ///< that fatal requests brought about
    std::vector<time_point> fatal_arrivals; ///< of fatal requests, refused ones included
    /// Requests a second that engines and services name in their answers as those that they take, by their
    /// names.
    std::map<std::string, double> limits;
    /// Those that refuse every request, and the pause for which they ask, by their names.
    std::map<std::string, duration> pauses;
    std::vector<refused_arrival> refused;
    /// Names of those that say in all their answers that they leave.
    std::set<std::string> leaving;
    /// By the names of engines and services, refused ones included.
    std::map<std::string, std::vector<request_arrival>> arrivals;
};

/// One part of a path.
struct engine_part
{
    std::string address;
    unsigned begin = 0;
    unsigned end = 0;
};

/// An engine that holds layers, leads streams over paths, and obeys orders, by the published protocol.
class path_engine
{
public:
    path_engine(event_loop& loop, platform_store& store, engine_world& world, const std::string& id,
        const std::string& hall);
    ~path_engine();
    path_engine(const path_engine&) = delete;
    path_engine& operator=(const path_engine&) = delete;

    /// The process ends without a word: connections reset, and nothing that depends on it goes on.
    void kill();
    /// The process ends without a word and starts anew a moment later, empty, under another name.
    void crash();
    /// Closes the connections that carry no request now.
    void close_idle_connections() { this->server->close_idle_connections(); }
    /// Does and answers nothing for so long, as a process without a processor; then it goes on.
    void stand_still(duration time) { this->still_until = this->loop.now() + time; }
    [[nodiscard]] bool stands_still() const { return this->loop.now() < this->still_until; }
    /// Enters itself in the store, again if its entry is gone.
    void write_entry();
    /// It says that it leaves and goes on serving.
    void leave();
    /// Of its present start.
    [[nodiscard]] const std::string& name() const { return this->id; }
    [[nodiscard]] bool holds(unsigned begin, unsigned end) const;
    [[nodiscard]] unsigned held_layers() const { return this->end - this->begin; }
    [[nodiscard]] const std::string& own_address() const { return this->address; }
    [[nodiscard]] std::size_t streams_led() const { return this->running.size(); }

private:
    struct running_stream
    {
        std::shared_ptr<http_exchange> exchange;
        std::vector<engine_part> path;
        unsigned next_event = 0;
        timer_id timer = 0;
    };

    void handle(const std::shared_ptr<http_exchange>& exchange);
    void take_order(const std::shared_ptr<http_exchange>& exchange);
    void change_path(
        const std::shared_ptr<http_exchange>& exchange, const std::string& id, const std::string& path);
    void start_stream(const std::shared_ptr<http_exchange>& exchange, const std::string& path);
    /// The first part that can't run; nothing if all can.
    [[nodiscard]] const engine_part* find_fault(const std::vector<engine_part>& path) const;
    /// Index of the event with that id within its stream.
    [[nodiscard]] unsigned index_of(const std::string& event_id) const;
    /// True if the stream can make no event now, though it may later.
    [[nodiscard]] bool is_held_up(const std::vector<engine_part>& path) const;
    /// Returns true if the stream has all its events and was ended.
    bool finish_if_whole(const std::string& request);
    void make_event(const std::string& id);
    void restart();
    /// Ends with the request that ends every engine, if this is it.
    void take_fatal(const http_request& request);

    event_loop& loop;
    platform_store& store;
    engine_world& world;
    std::string id;
    std::string hall;
    unsigned starts = 1;
    std::unique_ptr<http_server> server;
    std::string address;
    unsigned begin = 0;
    unsigned end = 0;
    bool is_leaving = false;
    time_point still_until{};
    unsigned orders_begun = 0;
    std::uint64_t token_seen = 0;
    std::map<std::string, running_stream> running;
};

/// A plain service by the published protocol, with faults that tests switch on.
class platform_service
{
public:
    platform_service(event_loop& loop, platform_store& store, engine_world& world, const std::string& id);

    /// The next requests run and their answers are lost.
    void lose_answers(unsigned count) { this->answers_to_lose = count; }
    /// From now on requests run and are never answered; their connections stay open.
    void fall_silent() { this->is_silent = true; }
    /// From now on each answer has this body.
    void set_answer(std::string body) { this->answer_body = std::move(body); }
    /// Enters itself in the store, again if its entry is gone.
    void write_entry();
    [[nodiscard]] const std::string& name() const { return this->id; }

private:
    void handle(const std::shared_ptr<http_exchange>& exchange);
    /// Starts to serve, under this name.
    void start(const std::string& name);
    /// Ends without a word and starts anew a moment later under another name.
    void crash();

    event_loop& loop;
    platform_store& store;
    engine_world& world;
    std::string id;
    unsigned starts = 1;
    std::unique_ptr<http_server> server;
    endpoint address;
    unsigned answers_to_lose = 0;
    bool is_silent = false;
    std::string answer_body = "answer";
};

} // namespace sailtiller::standins
