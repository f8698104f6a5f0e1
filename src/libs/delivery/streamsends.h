// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <delivery/deliverycontext.h>

namespace sailtiller {

/// How often one stream was sent, and whether and when it may be sent again.
class stream_sends
{
public:
    explicit stream_sends(const delivery_settings& settings)
        : settings(settings)
    {
    }

    void note_sent() { ++this->sent; }
    [[nodiscard]] unsigned count() const { return this->sent; }
    /// True while fewer sends went out than one request may take; more once its answer has begun.
    [[nodiscard]] bool may_send_again(bool has_started) const;
    /// Until the next send after one that was refused.
    [[nodiscard]] duration pause_after_refusal() const;

private:
    const delivery_settings& settings;
    unsigned sent = 0;
};

} // namespace sailtiller
