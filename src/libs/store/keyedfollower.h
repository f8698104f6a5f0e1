// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/timerqueue.h>
#include <store/storetypes.h>

namespace sailtiller {

/// How a topic is followed.
struct keyed_follower_settings
{
    store_topic topic = store_topic::bundles;
    duration wait{}; ///< how long a read waits for a record; zero asks without waiting
    duration pause{}; ///< between two reads, or two looks whether one is due
    duration least_retry = std::chrono::milliseconds(200); ///< after a failure, doubled up to the longest
    duration longest_retry = std::chrono::seconds(1);
};

/// What a follower asks and tells.
struct keyed_follower_hooks
{
    timer_hooks timers;
    std::function<void(
        store_topic, std::function<void(const newest_page&)>, std::function<void(const error&)>)>
        read_newest;
    std::function<void(store_topic, log_offset, duration, std::function<void(const record_page&)>,
        std::function<void(const error&)>)>
        read_after;
    /// False while another host's word is as good as a read; the follower then looks again after its pause.
    std::function<bool()> is_due;
    /// The newest record of every key, up to an offset; what is not in it is gone.
    std::function<void(const std::vector<keyed_record>&, log_offset end)> on_all;
    std::function<void(const keyed_record&, log_offset)> on_record;
    /// All that the store had at `asked` has been told.
    std::function<void(time_point asked)> on_confirmed;
    /// Where it is longer than the settings' longest pause after failures, it holds instead; may be left out.
    std::function<duration()> longest_retry;
    /// A call failed; told for each one.
    std::function<void(const error&)> on_failure;
};

/// Keeps up with one topic of the store: all keys first, then their changes, and all keys again whenever the
/// store has forgotten what follows.
class keyed_follower
{
public:
    keyed_follower(keyed_follower_settings settings, keyed_follower_hooks hooks);

    /// Begins to read; goes on by itself.
    void start();
    /// Everything before `end` is known from elsewhere.
    void skip_to(log_offset end);
    /// How long reads wait for a record from now on.
    void set_wait(duration wait) { this->settings.wait = wait; }
    /// True if the last read failed.
    [[nodiscard]] bool is_lost() const { return this->failures > 0; }

private:
    void turn();
    void read_all();
    void read_changes();
    void take_page(const record_page& page, log_offset from, time_point asked);
    void fail(const error& failure);
    void schedule(duration delay);

    keyed_follower_settings settings;
    keyed_follower_hooks hooks;
    std::optional<log_offset> next; ///< nothing: all keys must be read
    unsigned failures = 0; ///< one after the other
};

} // namespace sailtiller
