// SPDX-License-Identifier: Apache-2.0
// Crowds of callers that keep to no limit, before one host on a machine of the usual size. Whatever they
// send, the process lives within its machine's memory and descriptors, and answers others.
#include "callercrowd.h"
#include "sitebed.h"
#include "streamcrowd.h"

#include <csignal>
#include <dirent.h>
#include <fstream>
#include <sys/resource.h>

namespace sailtiller::tests {

namespace {

using namespace std::chrono_literals;

/// What a machine has for each of its processes.
constexpr std::size_t machine_memory_bytes = 260'000'000;
constexpr std::size_t machine_descriptors = 4'100;

constexpr std::size_t body_limit = 4'194'304;
constexpr std::size_t chunk_bytes = std::size_t{64} << 10U;
constexpr std::size_t crowd_size = 100;
/// A crowd has come to rest once no byte has moved for so long.
constexpr duration rest_time = 2s;

#ifdef __SANITIZE_ADDRESS__
constexpr bool is_memory_as_shipped = false; // the sanitizers hold much more than the product does
#else
constexpr bool is_memory_as_shipped = true;
#endif

/// Lowers the descriptors of processes that are started while it lives.
class lowered_descriptors
{
public:
    explicit lowered_descriptors(std::size_t count)
    {
        EXPECT_EQ(getrlimit(RLIMIT_NOFILE, &this->before), 0);
        const rlimit lowered{count, this->before.rlim_max};
        EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &lowered), 0);
    }
    ~lowered_descriptors() { setrlimit(RLIMIT_NOFILE, &this->before); }
    lowered_descriptors(const lowered_descriptors&) = delete;
    lowered_descriptors& operator=(const lowered_descriptors&) = delete;

private:
    rlimit before{};
};

std::string head_of(const std::string& more)
{
    return "POST /submit/x HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: crowd-{n}\r\nx-deadline-ms: 20000\r\n"
           "authorization: Bearer key-1\r\n"
        + more;
}

std::string head_with_length(std::size_t length)
{
    return head_of("content-length: " + std::to_string(length) + "\r\n\r\n");
}

std::string chunked_head()
{
    return head_of("transfer-encoding: chunked\r\n\r\n");
}

std::string large_chunk()
{
    return "10000\r\n" + std::string(chunk_bytes, 'x') + "\r\n";
}

std::string repeat(const std::string& text, std::size_t count)
{
    std::string all;
    for (std::size_t number = 0; number < count; ++number) {
        all += text;
    }
    return all;
}

class caller_crowds : public site_bed
{
protected:
    void start(std::size_t descriptors = machine_descriptors, const std::string& request_time = "20000")
    {
        const lowered_descriptors lowered(descriptors);
        this->host = &this->start_host("a", {"--request-time-ms", request_time});
        int status = 0;
        run_until(this->loop, [this, &status] {
            const auto answer = this->ask_plain("ask");
            this->wait_for(answer);
            status = answer->status;
            return status == 200;
        });
    }

    std::shared_ptr<site_answer> ask_plain(const std::string& body)
    {
        return this->ask(
            *this->host, "ordinary-" + std::to_string(this->asked++), "/submit/x", "key-1", body);
    }

    /// Lets the crowd send until nothing moves any more.
    template <typename Crowd>
    void play(Crowd& crowd)
    {
        time_point moved = this->loop.now();
        while (this->loop.now() - moved < rest_time) {
            if (crowd.exchange_bytes()) {
                moved = this->loop.now();
            }
            this->loop.run_once(1ms);
            ASSERT_FALSE(this->host->process->exit_code()) << this->host->process->last_output();
        }
    }

    /// The process lives within its machine, and answers an ordinary request.
    void expect_sound(const std::string& when)
    {
        ASSERT_FALSE(this->host->process->exit_code()) << when << "\n" << this->host->process->last_output();
        EXPECT_LE(this->count_descriptors(), machine_descriptors) << when;
        if (is_memory_as_shipped) {
            EXPECT_LE(this->memory_figure("VmHWM:"), machine_memory_bytes) << when;
        }
        const auto answer = this->ask_plain("ask");
        this->wait_for(answer);
        EXPECT_EQ(answer->status, 200) << when;
    }

    /// After the crowd has gone, a body at the limit is served too.
    void expect_sound_in_calm()
    {
        this->pass(rest_time);
        this->expect_sound("after the crowd");
        const auto answer = this->ask_plain(std::string(body_limit, 'x'));
        this->wait_for(answer);
        EXPECT_EQ(answer->status, 200);
        this->expect_sound("after a body at the limit");
    }

    void play_and_check(std::size_t count, const caller_script& script)
    {
        this->start();
        {
            caller_crowd crowd(this->host->callers, count, script);
            this->play(crowd);
            this->expect_sound("beside the crowd");
        }
        this->expect_sound_in_calm();
    }

    /// Plays a crowd whose requests are whole: each is answered, refused as not run and not run, or cut off,
    /// and none runs twice.
    void play_whole_requests(const caller_script& script)
    {
        this->start();
        {
            caller_crowd crowd(this->host->callers, crowd_size, script);
            this->play(crowd);
            this->expect_sound("beside the crowd");
            for (std::size_t number = 0; number < crowd_size; ++number) {
                const int status = crowd.status_of(number);
                const unsigned runs = this->world.runs["crowd-" + std::to_string(number)];
                EXPECT_TRUE(status == 200 || status == 503 || status == 0) << status;
                EXPECT_LE(runs, status == 503 ? 0U : 1U) << number;
            }
        }
        this->expect_sound_in_calm();
    }

    /// Plays a crowd whose bodies are too large, and that reads its answers after it has sent what it can.
    /// All are refused, and none has run.
    void play_refused_bodies(const caller_script& script, const std::set<int>& statuses)
    {
        this->start();
        {
            caller_crowd crowd(this->host->callers, crowd_size, script);
            crowd.set_reading(false);
            this->play(crowd);
            crowd.set_reading(true);
            this->play(crowd);
            this->expect_sound("beside the crowd");
            for (std::size_t number = 0; number < crowd_size; ++number) {
                EXPECT_EQ(statuses.count(crowd.status_of(number)), 1U) << crowd.status_of(number);
                EXPECT_EQ(this->world.runs["crowd-" + std::to_string(number)], 0U) << number;
            }
        }
        this->expect_sound_in_calm();
    }

    /// A caller that sends the whole of a body that is too large, and reads its answer then, learns why it
    /// was refused. One that sees a reset may try again.
    void play_one_refused_body(const caller_script& script)
    {
        this->start();
        caller_crowd caller(this->host->callers, 1, script);
        caller.set_reading(false);
        this->play(caller);
        caller.set_reading(true);
        this->play(caller);
        EXPECT_FALSE(caller.was_reset(0));
        EXPECT_EQ(caller.status_of(0), 413);
        this->expect_sound_in_calm();
    }

    /// Bytes of a line of the process's status in kilobytes.
    std::size_t memory_figure(const std::string& name) const
    {
        std::ifstream file("/proc/" + std::to_string(this->host->process->id()) + "/status");
        std::string word;
        while (file >> word) {
            if (word == name) {
                std::size_t kilobytes = 0;
                file >> kilobytes;
                return kilobytes * 1024;
            }
        }
        ADD_FAILURE() << "no " << name;
        return 0;
    }

    std::size_t count_descriptors() const
    {
        const std::string path = "/proc/" + std::to_string(this->host->process->id()) + "/fd";
        std::size_t count = 0;
        DIR* folder = opendir(path.c_str());
        if (folder == nullptr) {
            ADD_FAILURE() << path;
            return 0;
        }
        while (const dirent* entry = readdir(folder)) {
            count += entry->d_name[0] == '.' ? 0 : 1;
        }
        closedir(folder);
        return count;
    }

    site_host_process* host = nullptr;
    unsigned asked = 0;
};

TEST_F(caller_crowds, bodies_with_a_length_that_stop_short)
{
    this->play_and_check(
        crowd_size, {head_with_length(body_limit), std::string(chunk_bytes, 'x'), body_limit - 100});
}

TEST_F(caller_crowds, bodies_that_stop_short_after_others_have_gone)
{
    this->start();
    for (const char* when : {"beside the first crowd", "beside the second crowd"}) {
        caller_crowd crowd(this->host->callers, crowd_size,
            {head_with_length(body_limit), std::string(chunk_bytes, 'x'), body_limit - 100});
        this->play(crowd);
        this->expect_sound(when);
    }
    this->expect_sound_in_calm();
}

TEST_F(caller_crowds, bodies_in_large_chunks_that_stop_short)
{
    const std::string chunk = large_chunk();
    this->play_and_check(crowd_size, {chunked_head(), chunk, 62 * chunk.size()});
}

TEST_F(caller_crowds, bodies_in_chunks_of_one_byte_that_stop_short)
{
    const std::string chunks = repeat("1\r\nx\r\n", 1000);
    this->play_and_check(crowd_size, {chunked_head(), chunks, 980 * chunks.size()});
}

TEST_F(caller_crowds, a_tenth_of_a_megabyte_each_from_most_connections)
{
    this->play_and_check(
        3'500, {head_with_length(body_limit), std::string(chunk_bytes, 'x'), std::size_t{100'000}});
}

TEST_F(caller_crowds, whole_bodies_with_a_length)
{
    this->play_whole_requests({head_with_length(body_limit), std::string(chunk_bytes, 'x'), body_limit});
}

TEST_F(caller_crowds, whole_bodies_in_chunks)
{
    const std::string chunk = large_chunk();
    this->play_whole_requests({chunked_head(), chunk, 62 * chunk.size(), "0\r\n\r\n"});
}

TEST_F(caller_crowds, bodies_that_announce_too_much)
{
    this->play_refused_bodies(
        {head_with_length(1'000'000'000), std::string(chunk_bytes, 'x'), 2 * body_limit}, {413});
}

TEST_F(caller_crowds, bodies_whose_chunks_are_too_much)
{
    const std::string chunk = large_chunk();
    // Memory may be short before a body exceeds its limit, which nothing has announced.
    this->play_refused_bodies({chunked_head(), chunk, 128 * chunk.size()}, {413, 503});
}

TEST_F(caller_crowds, one_body_that_announces_too_much)
{
    this->play_one_refused_body(
        {head_with_length(2 * body_limit), std::string(chunk_bytes, 'x'), 2 * body_limit});
}

TEST_F(caller_crowds, one_body_whose_chunks_are_too_much)
{
    const std::string chunk = large_chunk();
    this->play_one_refused_body({chunked_head(), chunk, 128 * chunk.size(), "0\r\n\r\n"});
}

TEST_F(caller_crowds, heads_without_an_end)
{
    this->play_and_check(1'000, {head_of("x-more: "), std::string(chunk_bytes, 'x'), 360'000});
}

TEST_F(caller_crowds, streams_without_an_end)
{
    this->start();
    {
        stream_crowd crowd(this->host->callers, 3, 80, 4'000'000);
        this->play(crowd);
        this->expect_sound("beside the crowd");
    }
    this->expect_sound_in_calm();
}

TEST_F(caller_crowds, small_streams_over_many_connections)
{
    this->start();
    {
        stream_crowd crowd(this->host->callers, 1'000, 100, 10);
        this->play(crowd);
        this->expect_sound("beside the crowd");
    }
    this->expect_sound_in_calm();
}

TEST_F(caller_crowds, header_blocks_without_an_end)
{
    this->play_and_check(10, {endless_header_block_begin(), header_block_continuation(), 40'000'000});
}

TEST_F(caller_crowds, bodies_that_expect_to_be_asked_for)
{
    this->play_and_check(1'000,
        {head_of("expect: 100-continue\r\ncontent-length: 4194304\r\n\r\n"), std::string(chunk_bytes, 'x'),
            500'000});
}

TEST_F(caller_crowds, chunk_extensions_without_an_end)
{
    this->play_and_check(crowd_size, {chunked_head() + "1;", std::string(chunk_bytes, 'x'), 10'000'000});
}

TEST_F(caller_crowds, trailers_without_an_end)
{
    const std::string trailer = "x-more: " + std::string(990, 'x') + "\r\n";
    this->play_and_check(crowd_size, {chunked_head() + "1\r\nx\r\n0\r\n", trailer, 10'000 * trailer.size()});
}

TEST_F(caller_crowds, requests_sent_ahead_of_their_answers)
{
    const std::string request = "POST /submit/x HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: ahead\r\n"
                                "authorization: Bearer key-1\r\ncontent-length: 0\r\n\r\n";
    this->start();
    {
        caller_crowd crowd(this->host->callers, crowd_size, {"", request, 20'000 * request.size()});
        crowd.set_reading(false);
        this->play(crowd);
        this->expect_sound("beside the crowd");
    }
    this->expect_sound_in_calm();
}

TEST_F(caller_crowds, answers_that_are_left_unread)
{
    this->start();
    for (const auto& service : this->services) {
        service->set_answer(std::string(body_limit, 'x'));
    }
    {
        caller_crowd crowd(this->host->callers, 2 * crowd_size, {head_with_length(0)});
        crowd.set_reading(false);
        this->play(crowd);
        for (const auto& service : this->services) {
            service->set_answer("answer");
        }
        this->expect_sound("beside the crowd");
    }
    this->expect_sound_in_calm();
}

TEST_F(caller_crowds, connections_beyond_the_descriptors)
{
    this->caller_limits = {{"idle-timeout-ms", 600'000}, {"header-timeout-ms", 600'000}};
    this->write_configuration(2, {"key-1"});
    this->start(256, "600000");
    {
        caller_crowd crowd(this->host->callers, 300, {""});
        this->play(crowd);
        this->expect_sound("beside the crowd");
    }
    this->expect_sound_in_calm();
}

} // namespace

} // namespace sailtiller::tests
