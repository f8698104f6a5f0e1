// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <admission/admissioncontrol.h>

#include <set>
#include <string>

namespace sailtiller {

/// Decision about a request that isn't under way.
struct admission_verdict
{
    enum class action {
        send,
        hold,
        refuse,
        no_path ///< some layer has no holder; not a matter of admission
    };

    action what = action::no_path;
    layer_path path; ///< to send the request over
    std::string reason; ///< of a hold or a refusal
    duration retry_after{}; ///< of a refusal
};

/// What a request can be sent over, as this host knows it. The objects outlive the request.
struct admission_view
{
    const engine_profile& profile;
    const upstream_directory& directory;
    const engine_loads& loads;
    clock_function now;
    /// Returns a path without the avoided upstreams, if there is one with a request slot for this host.
    std::function<std::optional<layer_path>(const std::set<upstream_id>& avoided)> find_path;
    /// Returns whether the engines of the path have memory, and the pipes between its halls time, for the
    /// request.
    std::function<bool(const layer_path&)> has_room;
    /// Returns whether the last search found no path as this host has no share of a free slot left. Optional.
    std::function<bool()> is_short_of_slots = {};
};

/// Admission of one request at this host, and what its stream shows about the load of the service.
class request_admission
{
public:
    /// Notes the arrival of the request. `control` outlives it.
    request_admission(admission_control& control, admission_view view, const admission_request& request);
    ~request_admission();
    request_admission(const request_admission&) = delete;
    request_admission& operator=(const request_admission&) = delete;

    /// Decides about the request, which must not have been run. A request that was admitted stays so; further
    /// calls look for a path for it.
    [[nodiscard]] admission_verdict decide(const std::set<upstream_id>& avoided);
    /// Holds the request in its place in the host's queue. `try_again` is called when its turn comes, `leave`
    /// if the queue is full of requests that go before it. Returns false if it is so already.
    [[nodiscard]] bool hold(std::function<void()> try_again, std::function<void()> leave);
    /// Returns the refusal of a request that had to leave the full queue.
    [[nodiscard]] admission_verdict displace();
    /// Records that the request is sent over this path.
    void note_sent(const layer_path& path);
    /// Records events of the stream.
    void note_event();
    /// Records that all events of the stream have come.
    void note_complete(std::size_t event_count);
    /// Ends the record of the request; done by the destructor otherwise.
    void end();

private:
    /// Predicted times at the last send.
    struct prediction
    {
        duration first_event{};
        duration slot_wait{};
        duration uncorrected{}; ///< the first event without the wait for a slot and without the correction
        duration token_time{};
    };

    [[nodiscard]] path_forecast forecast(const layer_path& path) const;
    [[nodiscard]] admission_verdict find_path(const std::set<upstream_id>& avoided);
    [[nodiscard]] admission_verdict hold_or_refuse(
        admission_outcome cause, duration needed, const std::string& reason);
    [[nodiscard]] admission_verdict refuse(admission_outcome cause, const std::string& reason);
    void leave_queue();
    [[nodiscard]] std::size_t count_heads() const;

    admission_control& control;
    admission_view view;
    admission_request request;
    std::optional<admission_draw> draw; ///< empty before the first decision
    bool is_admitted = false;
    std::optional<hold_queue::ticket> place;
    std::optional<time_point> sent; ///< first send
    std::optional<time_point> first_event;
    prediction predicted;
    unsigned sends = 0;
};

} // namespace sailtiller
