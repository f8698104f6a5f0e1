// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

#include <string>

namespace sailtiller {

/// How often one stream was sent, how many upstreams may have begun it, and whether and when it may be sent
/// again.
class stream_sends
{
public:
    stream_sends(const delivery_context& context, const delivery_order& order)
        : context(context)
        , order(order)
    {
    }

    void note_sent() { ++this->sent; }
    /// The last send reached no upstream, or one that says that it did not run it.
    void note_not_run() { ++this->not_run; }
    [[nodiscard]] unsigned count() const { return this->sent; }
    /// Sends that an upstream has begun or may have begun. Each counts unless it is known not to have run, so
    /// that no way of leaving a call can forget to count it: an upstream may have begun or even ended what it
    /// was sent long before a full link lets its answer through.
    [[nodiscard]] unsigned runs() const { return this->sent - this->not_run; }
    /// True while the route allows one more run and, before the answer has begun, fewer sends went out than
    /// one request may take. A caller whose answer has begun can't be told to come back.
    [[nodiscard]] bool may_send_again(bool has_started) const;
    /// True if the request could go out again at once.
    [[nodiscard]] bool may_send_now(bool has_started) const;
    /// Until the next send after one that was refused.
    [[nodiscard]] duration pause_after_refusal() const;
    /// For the log: the runs so far, of those that the route allows.
    [[nodiscard]] std::string describe_runs() const;

private:
    const delivery_context& context;
    const delivery_order& order;
    unsigned sent = 0;
    unsigned not_run = 0;
};

} // namespace sailtiller
