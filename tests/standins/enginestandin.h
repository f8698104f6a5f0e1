// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <runtime/httpserver.h>
#include <standins/enginemodel.h>

#include <map>
#include <set>

namespace sailtiller::standins {

/// What an engine stand-in does with the next steps.
enum class engine_fault {
    none,
    stall, ///< takes steps and never answers
    error, ///< answers 500 without running
    refuse, ///< answers 429 with Retry-After: 1
    reject, ///< answers 422: the request is at fault
    wrong_stream ///< answers with another stream's id
};

struct engine_settings
{
    std::uint32_t layers = 1; ///< of the whole model; the engine whose range ends there makes the tokens
    duration step_time{};
    duration prefill_time{};
};

/// An engine that holds any range of layers, keeps what each attempt left, and counts what must never happen.
class engine_standin
{
public:
    engine_standin(event_loop& loop, engine_settings settings);

    void handle(const std::shared_ptr<http_exchange>& exchange);
    void set_fault(engine_fault fault) { this->fault = fault; }
    [[nodiscard]] std::uint64_t violations() const { return this->violation_count; }
    [[nodiscard]] std::size_t open_streams() const { return this->states.size(); }
    [[nodiscard]] std::uint64_t steps() const { return this->step_count; }

private:
    /// What a prefill left for the decode steps of one attempt over one range of layers.
    struct attempt_state
    {
        std::uint64_t prefix = 0;
        std::uint32_t next_position = 0;
        std::uint32_t most_tokens = 0;
    };

    void handle_step(const std::shared_ptr<http_exchange>& exchange);
    std::optional<step_answer> run(const step_request& step);
    void set_fault_by_name(const std::shared_ptr<http_exchange>& exchange);
    void report(const std::shared_ptr<http_exchange>& exchange) const;

    event_loop& loop;
    engine_settings settings;
    engine_fault fault = engine_fault::none;
    std::map<std::string, attempt_state> states;
    std::set<std::string> run_steps; ///< every step that was run, to find one that runs twice
    std::uint64_t violation_count = 0;
    std::uint64_t step_count = 0;
    std::vector<std::shared_ptr<http_exchange>> stalled;
};

} // namespace sailtiller::standins
