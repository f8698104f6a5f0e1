// SPDX-License-Identifier: Apache-2.0
#include "childprocess.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace sailtiller::tests {

namespace {

constexpr int signal_base = 128;
/// Room for a report of the sanitizers behind the last lines of the log.
constexpr std::size_t last_output_bytes = 8192;

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments)
{
    std::array<int, 2> ends{};
    EXPECT_EQ(pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK), 0);
    this->pipe_end = ends[0];
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
    std::vector<char*> words{const_cast<char*>(program.c_str())};
    for (const std::string& word : arguments) {
        words.push_back(const_cast<char*>(word.c_str()));
    }
    words.push_back(nullptr);
    EXPECT_EQ(posix_spawn(&this->process, program.c_str(), &actions, nullptr, words.data(), environ), 0);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
}

child_process::~child_process()
{
    if (!this->exit_code()) {
        kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
    }
    close(this->pipe_end);
}

const std::string& child_process::output()
{
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = read(this->pipe_end, buffer.data(), buffer.size())) > 0) {
        this->text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return this->text;
}

std::string child_process::last_output()
{
    const std::string& all = this->output();
    return all.substr(all.size() - std::min(all.size(), last_output_bytes));
}

std::optional<int> child_process::exit_code()
{
    int status = 0;
    this->output(); // so that a full pipe never holds the child up
    if (!this->code && waitpid(this->process, &status, WNOHANG) == this->process) {
        this->code = WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
    }
    return this->code;
}

void child_process::send_signal(int number) const
{
    kill(this->process, number);
}

} // namespace sailtiller::tests
