// SPDX-License-Identifier: Apache-2.0
#include "streamcrowd.h"

#include <runtime/socketaddress.h>

#include <gtest/gtest.h>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <map>
#include <sys/socket.h>
#include <unistd.h>

namespace sailtiller::tests {

namespace {

constexpr std::size_t frame_bytes = 16384;
constexpr char headers_frame = 1;
constexpr char settings_frame = 4;
constexpr char continuation_frame = 9;

std::string frame_head(std::size_t length, char type, char stream)
{
    std::string head;
    head += static_cast<char>(length >> 16U & 0xffU);
    head += static_cast<char>(length >> 8U & 0xffU);
    head += static_cast<char>(length & 0xffU);
    head += type;
    head += '\0'; // no flags: more of the block follows
    head += std::string(3, '\0') + stream;
    return head;
}

nghttp2_nv field(const std::string& name, const std::string& value)
{
    const auto bytes = [](const std::string& text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

struct stream_crowd::connection
{
    connection(const endpoint& target, std::size_t streams, std::size_t body_bytes)
        : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        socket_address address = to_socket_address(target);
        const int result = connect(this->descriptor, address.pointer(), address.length);
        EXPECT_TRUE(result == 0 || errno == EINPROGRESS);
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_client_new(&this->session, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, nullptr, 0);
        const std::map<std::string, std::string> fields{{":method", "POST"}, {":scheme", "http"},
            {":path", "/submit/x"}, {":authority", "a.example"}, {"authorization", "Bearer key-1"}};
        std::vector<nghttp2_nv> list;
        list.reserve(fields.size());
        for (const auto& [name, value] : fields) {
            list.push_back(field(name, value));
        }
        nghttp2_data_provider source{};
        source.source.ptr = this;
        source.read_callback = &connection::read_body;
        for (std::size_t number = 0; number < streams; ++number) {
            const std::int32_t stream =
                nghttp2_submit_request(this->session, nullptr, list.data(), list.size(), &source, nullptr);
            EXPECT_GT(stream, 0);
            this->left[stream] = body_bytes;
        }
    }

    ~connection()
    {
        nghttp2_session_del(this->session);
        close(this->descriptor);
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    static ssize_t read_body(nghttp2_session*, std::int32_t stream, std::uint8_t* buffer, std::size_t length,
        std::uint32_t*, nghttp2_data_source* source, void*)
    {
        std::size_t& left = static_cast<connection*>(source->ptr)->left[stream];
        if (left == 0) {
            return NGHTTP2_ERR_DEFERRED; // the stream stays open
        }
        const std::size_t count = std::min(left, length);
        std::fill_n(buffer, count, std::uint8_t{'x'});
        left -= count;
        return static_cast<ssize_t>(count);
    }

    bool exchange_bytes()
    {
        std::array<std::uint8_t, 65536> buffer{};
        const ssize_t count = recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count > 0) {
            nghttp2_session_mem_recv(this->session, buffer.data(), static_cast<std::size_t>(count));
        }
        return this->send_some() || count > 0;
    }

    bool send_some()
    {
        bool has_moved = false;
        for (;;) {
            if (this->unsent.empty()) {
                const std::uint8_t* bytes = nullptr;
                const ssize_t size = nghttp2_session_mem_send(this->session, &bytes);
                if (size <= 0) {
                    return has_moved;
                }
                this->unsent.assign(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
            }
            const ssize_t sent =
                send(this->descriptor, this->unsent.data(), this->unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent <= 0) {
                return has_moved;
            }
            has_moved = true;
            this->unsent.erase(0, static_cast<std::size_t>(sent));
        }
    }

    int descriptor;
    nghttp2_session* session = nullptr;
    std::map<std::int32_t, std::size_t> left; ///< bytes of each stream's body
    std::string unsent;
};

stream_crowd::stream_crowd(
    const endpoint& target, std::size_t connections, std::size_t streams, std::size_t body_bytes)
{
    for (std::size_t number = 0; number < connections; ++number) {
        this->connections.push_back(std::make_unique<connection>(target, streams, body_bytes));
    }
}

stream_crowd::~stream_crowd() = default;

bool stream_crowd::exchange_bytes()
{
    bool has_moved = false;
    for (const auto& item : this->connections) {
        has_moved = item->exchange_bytes() || has_moved;
    }
    return has_moved;
}

std::string endless_header_block_begin()
{
    return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame_head(0, settings_frame, 0)
        + frame_head(frame_bytes, headers_frame, 1) + std::string(frame_bytes, '\x80');
}

std::string header_block_continuation()
{
    return frame_head(frame_bytes, continuation_frame, 1) + std::string(frame_bytes, '\x80');
}

} // namespace sailtiller::tests
