// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <placement/layerorder.h>
#include <runtime/periodictask.h>
#include <store/dutyholding.h>
#include <store/storeclient.h>

namespace sailtiller {

/// This host's part in the group that shares out the site's duties. The store says whose a duty is. Only
/// candidates are in the group, as each of its members calls the store for as long as it stays.
class site_duties
{
public:
    site_duties(event_loop& loop, store_client& store, host_id self, std::function<bool()> is_candidate);

    /// Joins the group, and stays in it, while this host is a candidate.
    void start();
    /// Gives the duties back at once, rather than by silence.
    void leave();
    /// The token under which this host may give orders to engines; nothing if that isn't its duty.
    [[nodiscard]] std::optional<fencing_token> order_token() const;
    /// An engine has seen a newer token than this one, so it isn't used any more.
    void note_refused(fencing_token token);

private:
    /// Joins, stays or leaves by whether this host is a candidate now.
    void look();
    void join();
    void leave_group();

    event_loop& loop;
    store_client& store;
    host_id self;
    std::function<bool()> is_candidate;
    duty_holding holding;
    fencing_token refused_token;
    bool is_in_group = false;
    bool is_leaving = false;
    periodic_task looks;
};

} // namespace sailtiller
