// SPDX-License-Identifier: Apache-2.0
#include <runtime/eventlog.h>
#include <runtime/h2oheaders.h>
#include <runtime/peerclient.h>
#include <runtime/socketaddress.h>

#include <utility>

namespace sailtiller {

namespace {

/// Questions in a row that end without a byte from the peer until their connection counts as silent. One may
/// be a lost packet or a pause of the peer; each further one keeps two hosts deaf to each other for longer,
/// and a connection that was dropped in vain costs a round trip.
constexpr int most_silent_questions = 2;

} // namespace

/// One question until its answer, its failure or the end of its time.
struct peer_client::question
{
    std::string method;
    std::string body;
    reply_handler on_reply;
    failure_handler on_failure;
    timer_id timer = 0;
    std::int32_t stream = 0; ///< once it was sent
    std::uint64_t received_before = 0; ///< bytes over its connection when it was sent
    bool is_done = false;

    void succeed(const std::string& reply)
    {
        if (!std::exchange(this->is_done, true)) {
            this->on_reply(reply);
        }
    }

    void fail(const peer_failure& failure)
    {
        if (!std::exchange(this->is_done, true)) {
            this->on_failure(failure);
        }
    }
};

/// The connection to one peer, made when it is first needed and again after it has ended.
struct peer_client::connection
{
    peer_client* owner = nullptr;
    endpoint peer;
    h2o_socket_t* connecting = nullptr;
    timer_id connect_timer = 0;
    time_point last_asked{};
    std::unique_ptr<peer_session> session;
    std::vector<std::shared_ptr<question>> waiting; ///< for the connection
    std::map<std::int32_t, std::shared_ptr<question>> asked;
    int silent_questions = 0; ///< that ended in a row without a byte since the first of them was sent
    std::uint64_t received_before_silence = 0; ///< bytes over the session at the last of them

    /// Counts a question of the session that was given up; true if the session counts as silent now.
    bool note_time_out(const question& item);
    /// Takes the question of a stream out; null if there is none.
    std::shared_ptr<question> take(std::int32_t stream);
};

std::shared_ptr<peer_client::question> peer_client::connection::take(std::int32_t stream)
{
    const auto found = this->asked.find(stream);
    if (found == this->asked.end()) {
        return nullptr;
    }
    std::shared_ptr<question> item = found->second;
    this->asked.erase(found);
    this->owner->loop.cancel(item->timer);
    return item;
}

bool peer_client::connection::note_time_out(const question& item)
{
    const std::uint64_t received = this->session->bytes_received();
    if (received != item.received_before) {
        return false;
    }
    if (received != this->received_before_silence) {
        this->received_before_silence = received;
        this->silent_questions = 0;
    }
    ++this->silent_questions;
    return this->silent_questions >= most_silent_questions;
}

peer_client::peer_client(event_loop& loop, duration connect_limit)
    : loop(loop)
    , connect_limit(connect_limit)
{
}

peer_client::~peer_client()
{
    for (auto& [peer, item] : this->connections) {
        this->loop.cancel(item->connect_timer);
        if (item->connecting != nullptr) {
            h2o_socket_close(item->connecting);
        }
        for (const auto& waiting : item->waiting) {
            this->loop.cancel(waiting->timer);
        }
        for (const auto& [stream, asked] : item->asked) {
            this->loop.cancel(asked->timer);
        }
    }
}

peer_client::connection& peer_client::connection_to(const endpoint& peer)
{
    std::unique_ptr<connection>& item = this->connections[peer];
    if (!item) {
        item = std::make_unique<connection>();
        item->owner = this;
        item->peer = peer;
    }
    return *item;
}

void peer_client::ask(const endpoint& peer, const std::string& method, std::string body, duration limit,
    reply_handler on_reply, failure_handler on_failure)
{
    const auto item = std::make_shared<question>();
    item->method = method;
    item->body = std::move(body);
    item->on_reply = std::move(on_reply);
    item->on_failure = std::move(on_failure);
    connection& target = this->connection_to(peer);
    target.last_asked = this->loop.now();
    item->timer = this->loop.schedule_after(limit, [this, &target, item] { this->give_up(target, item); });
    if (target.session && target.session->is_open()) {
        this->send(target, item);
        return;
    }
    target.waiting.push_back(item);
    if (target.connecting == nullptr) {
        this->connect(target);
    }
}

void peer_client::connect(connection& target)
{
    std::optional<socket_address> address = find_socket_address(target.peer);
    target.connecting = !address ? nullptr
                                 : h2o_socket_connect(this->loop.native(), address->pointer(),
                                     address->length, &peer_client::on_connected);
    if (target.connecting == nullptr) {
        this->loop.post([this, &target] {
            this->fail_all(target, peer_failure_kind::not_sent,
                "the system refused the connection, or the address is none");
        });
        return;
    }
    target.connecting->data = &target;
    target.connect_timer = this->loop.schedule_after(this->connect_limit, [this, &target] {
        h2o_socket_close(target.connecting);
        target.connecting = nullptr;
        this->fail_all(target, peer_failure_kind::not_sent, "no connection within the time limit");
    });
}

void peer_client::on_connected(h2o_socket_t* socket, const char* failure)
{
    connection& target = *static_cast<connection*>(socket->data);
    peer_client& self = *target.owner;
    self.loop.cancel(target.connect_timer);
    target.connecting = nullptr;
    if (failure != nullptr) {
        h2o_socket_close(socket);
        self.fail_all(target, peer_failure_kind::not_sent, failure);
        return;
    }
    const auto on_message = [&target](std::int32_t stream, const peer_message& reply) {
        const std::shared_ptr<question> item = target.take(stream);
        if (item && reply.is_good) {
            item->succeed(reply.body);
        } else if (item) {
            item->fail({peer_failure_kind::no_answer, "the peer can't answer"});
        }
    };
    const auto on_end = [&target](std::int32_t stream, const std::string& reason) {
        if (stream == 0) {
            target.owner->drop(target, reason);
        } else if (const std::shared_ptr<question> item = target.take(stream)) {
            item->fail({peer_failure_kind::no_answer, reason});
        }
    };
    target.session =
        std::make_unique<peer_session>(self.loop, socket, peer_session::side::client, on_message, on_end);
    target.silent_questions = 0;
    target.received_before_silence = 0;
    std::vector<std::shared_ptr<question>> waiting;
    waiting.swap(target.waiting);
    for (const std::shared_ptr<question>& item : waiting) {
        self.send(target, item);
    }
}

void peer_client::send(connection& target, const std::shared_ptr<question>& item)
{
    if (!item->is_done) {
        item->received_before = target.session->bytes_received();
        item->stream = target.session->send_request({item->method, item->body, true});
        target.asked.emplace(item->stream, item);
    }
}

void peer_client::give_up(connection& target, const std::shared_ptr<question>& item)
{
    const std::string reason = "no answer within the time limit";
    if (target.asked.erase(item->stream) == 1 && target.session) {
        target.session->reset(item->stream);
        // A connection may go silent for good without a reset; only the questions that end over it show that.
        if (target.note_time_out(*item)) {
            log_event(log_level::warning, event_type::peer_unreachable,
                {{"step", "drop silent connection"}, {"peer", target.peer.value()}, {"reason", reason}});
            this->drop(target, "the connection is silent");
        }
    }
    item->fail({peer_failure_kind::no_answer, reason});
}

void peer_client::fail_all(connection& target, peer_failure_kind kind, const std::string& reason)
{
    std::vector<std::shared_ptr<question>> failed;
    failed.swap(target.waiting);
    for (const auto& [stream, item] : target.asked) {
        failed.push_back(item);
    }
    target.asked.clear();
    for (const std::shared_ptr<question>& item : failed) {
        this->loop.cancel(item->timer);
        item->fail({kind, reason});
    }
}

void peer_client::drop(connection& target, const std::string& reason)
{
    target.session.reset();
    this->fail_all(target, peer_failure_kind::no_answer, reason);
}

void peer_client::close_idle(duration idle_limit)
{
    const time_point now = this->loop.now();
    for (auto& [peer, item] : this->connections) {
        if (item->session && item->asked.empty() && now - item->last_asked > idle_limit) {
            this->drop(*item, "the connection is idle");
        }
    }
    std::erase_if(this->connections, [](const auto& entry) {
        const connection& item = *entry.second;
        return !item.session && item.connecting == nullptr && item.waiting.empty() && item.asked.empty();
    });
}

std::size_t peer_client::questions_open() const
{
    std::size_t sum = 0;
    for (const auto& [peer, item] : this->connections) {
        sum += item->asked.size() + item->waiting.size();
    }
    return sum;
}

std::uint64_t peer_client::bytes_sent() const
{
    std::uint64_t sum = 0;
    for (const auto& [peer, item] : this->connections) {
        sum += item->session ? item->session->bytes_sent() : 0;
    }
    return sum;
}

std::uint64_t peer_client::bytes_received() const
{
    std::uint64_t sum = 0;
    for (const auto& [peer, item] : this->connections) {
        sum += item->session ? item->session->bytes_received() : 0;
    }
    return sum;
}

} // namespace sailtiller
