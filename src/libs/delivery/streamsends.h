// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>
#include <delivery/streamend.h>

#include <string>

namespace sailtiller {

/// Counts the sends and runs of one stream, and decides whether and when it may be sent again.
class stream_sends
{
public:
    stream_sends(const delivery_context& context, const delivery_order& order)
        : context(context)
        , order(order)
    {
    }

    void note_sent() { ++this->sent; }
    /// Records that the last send reached no upstream.
    void note_not_arrived()
    {
        ++this->not_arrived;
        this->note_not_run();
    }
    /// Records that the upstream reports that it did not run the request, or that none was reached.
    void note_not_run() { ++this->not_run; }
    /// Records whether another run could go on after the last event that the caller has.
    void set_resumable(bool is_resumable) { this->resumable = is_resumable; }
    /// Returns the number of sends that reached an upstream or may have.
    [[nodiscard]] unsigned arrivals() const { return this->sent - this->not_arrived; }
    [[nodiscard]] unsigned count() const { return this->sent; }
    /// Returns the number of sends that an upstream has or may have started. A send counts unless it is known
    /// not to have run, so that no code path can omit one: an upstream may start and even finish a request
    /// long before its answer gets through a congested link.
    [[nodiscard]] unsigned runs() const { return this->sent - this->not_run; }
    /// Returns true while the stream is resumable, the route allows one more run and, before the answer has
    /// started, the limit of sends is not reached. A caller with a started answer can't be asked to retry, so
    /// that limit doesn't apply to it.
    [[nodiscard]] bool may_send_again(bool has_started) const;
    /// Returns why the request may not be sent again.
    [[nodiscard]] stream_end end_cause() const;
    /// Returns true if the request could be sent again at once.
    [[nodiscard]] bool may_send_now(bool has_started) const;
    /// Returns true if the fleet's retry allowance permits the next send. A part of it is kept from requests
    /// that upstreams have only refused: their callers can be asked to return.
    [[nodiscard]] bool has_allowance(bool has_started) const;
    /// Returns the pause before the next send after a refusal or a failed connection.
    [[nodiscard]] duration pause_before_next() const;
    /// Returns the number of runs and the route's maximum for the log.
    [[nodiscard]] std::string describe_runs() const;
    /// Returns the number of sends and of those that arrived, for the log.
    [[nodiscard]] std::string describe_arrivals() const;

private:
    /// Returns true if upstreams have got the request, and each refused it without running it.
    [[nodiscard]] bool is_only_refused(bool has_started) const;

    const delivery_context& context;
    const delivery_order& order;
    unsigned sent = 0;
    unsigned not_run = 0;
    unsigned not_arrived = 0;
    bool resumable = true;
};

} // namespace sailtiller
