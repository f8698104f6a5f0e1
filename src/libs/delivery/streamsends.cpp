// SPDX-License-Identifier: Apache-2.0
#include <delivery/streamsends.h>

#include <algorithm>

namespace sailtiller {

bool stream_sends::may_send_again(bool has_started) const
{
    return this->sent < (has_started ? this->settings.most_sends_under_way : this->settings.most_sends);
}

duration stream_sends::pause_after_refusal() const
{
    if (this->sent < this->settings.immediate_sends) {
        return duration::zero();
    }
    duration pause = this->settings.first_resend_pause;
    for (unsigned send = this->settings.immediate_sends; send < this->sent; ++send) {
        pause = std::min(2 * pause, this->settings.longest_resend_pause);
    }
    return pause;
}

} // namespace sailtiller
