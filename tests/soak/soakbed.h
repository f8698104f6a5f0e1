// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "noticeseries.h"

#include <sitebed.h>

#include <random>

namespace sailtiller::tests {

/// Hosts as real processes under a series of faults drawn from a seed, with callers that go on asking. What
/// must always hold is checked from what callers and upstreams saw.
class soak_bed : public site_bed
{
public:
    static constexpr unsigned default_host_count = 3;

protected:
    void TearDown() override;
    void start(unsigned seed, unsigned host_count);
    /// One step of the series: some requests, and perhaps a fault.
    void step();
    /// Ends all faults, and waits for all answers.
    void settle();
    void check_answers();
    /// No upstream gets more than the limit that it names allows.
    void check_limits() const;
    /// Few requests with the fatal part reach engines once hosts in touch must know it.
    void check_fatal_part() const;
    /// No upstream gets more of a host than its wish for a pause, or its word that it leaves, allows.
    void check_notices() const;
    /// All hosts know the same, and serve.
    void check_hosts();

private:
    /// A place for a host; after an end, another process takes it.
    struct host_slot
    {
        std::string name;
        site_host_process* host = nullptr;
        time_point back_at{}; ///< when its process goes on, or a new one takes the place
        time_point disturbed{}; ///< the last fault that may cost it an answer
        bool is_stopped = false; ///< suspended by a signal
        bool is_ended = false; ///< or told to end
        bool is_planned = false; ///< its end
        std::vector<time_point> unsettled; ///< starts, ends and freezes, planned ones too
        std::string settings_file;
        std::optional<time_point> way_back_at; ///< while it can make no connections to upstreams
        time_point way_changed{}; ///< the last loss or return of that
    };

    /// A time in which an upstream names a limit.
    struct limited_time
    {
        std::string upstream;
        double requests_per_second = 0;
        time_point begin{};
        time_point end{};
    };

    /// One request and what came of it.
    struct asked
    {
        std::string id;
        std::string path;
        std::string key;
        std::size_t slot = 0;
        time_point sent{};
        std::optional<time_point> answered;
        std::shared_ptr<site_answer> answer;
        bool had_relaying_host = false; ///< at its answer
        bool was_host_disturbed = false; ///< by anything that wasn't planned, from its sending to its answer
    };

    unsigned draw(unsigned below) { return static_cast<unsigned>(this->random() % below); }
    [[nodiscard]] bool is_taking(const host_slot& slot) const;
    void ask_some();
    void ask_one(std::size_t slot, const std::string& path, const std::string& key);
    void note_answers();
    void bring_back();
    void disturb();
    void end_host(host_slot& slot, int signal);
    void suspend_host(host_slot& slot);
    site_host_process& start_slot(host_slot& slot);
    /// Some hosts lose their way to the upstreams, and get it back; connections that are open live on.
    void change_ways();
    void set_way(host_slot& slot, bool is_open);
    /// Writes the slot's settings: the way to the upstreams, and figures in forms that mean the defaults.
    void write_settings(const host_slot& slot);
    /// Another host, to whom nothing has happened of late, could relay for this one.
    [[nodiscard]] bool has_relaying_host(const host_slot& slot) const;
    void shut_store(host_slot& slot);
    void change_configuration();
    void restore_store();
    void write_entries();
    /// The store drops the entries of upstreams that have been silent for three heartbeats.
    void drop_silent_entries();
    void check_answer(const asked& item);
    void draw_notices(unsigned seed);
    /// An engine and a service name limits for some seconds each.
    void draw_limits(unsigned seed);
    void name_limits();
    void ask_beyond_limits();
    /// From its time on, unlike requests come that share a part under which engines crash.
    void ask_with_fatal_part();
    /// The arrivals in such a time that count: from hosts that were told, and not disturbed of late.
    [[nodiscard]] std::vector<time_point> counted_arrivals(const limited_time& item) const;
    [[nodiscard]] bool is_settled(const host_slot& slot, time_point moment) const;

    std::mt19937 random;
    std::string series; ///< the faults so far, for the message of a failure
    std::vector<host_slot> slots;
    std::vector<asked> requests;
    std::vector<std::shared_ptr<const standins::platform_store::copy>> copies; ///< one of each step
    std::uint64_t version = 1;
    std::vector<std::string> keys{"key-1", "key-2"};
    std::map<std::string, time_point> withdrawn; ///< keys, and when the store took it
    time_point engines_disturbed{};
    time_point store_disturbed{};
    time_point write_again_at{}; ///< when what the store has lost is written again
    time_point drop_silent_at{}; ///< when it drops what nobody writes again
    std::vector<limited_time> limited;
    std::unique_ptr<notice_series> notices;
    std::mt19937 part_random; ///< as the one for limits
    time_point fatal_part_begins{};
    std::map<std::string, std::size_t> slots_of_fatal; ///< places that requests with the fatal part went to
    std::mt19937 way_random; ///< as the one for limits
    std::mt19937 limit_random; ///< apart from that of the other faults
    std::mt19937 settings_random; ///< as the one for limits
    unsigned count = 0;
};

} // namespace sailtiller::tests
