// SPDX-License-Identifier: Apache-2.0
#include <site/storereading.h>

#include <algorithm>

namespace sailtiller {

namespace {

using std::chrono::milliseconds;

/// How long a read waits for a newer bundle at the most; each answer also confirms the present one.
constexpr duration longest_bundle_wait = milliseconds(1000);
/// A reader confirms the bundle as of the begin of a wait, so up to two waits ago, and tells it to the others
/// in half a second more; five waits fit into the time in which a withdrawn key may be used.
constexpr int waits_in_revoke_limit = 5;
/// A host that knows the bundle only as of longer ago reads for itself, in tenths of a wait.
constexpr int own_bundle_read_tenths = 26;
/// Between two reads of the upstreams' entries by a reader. All hosts must know within two seconds which
/// upstreams leave.
constexpr duration upstream_interval = milliseconds(400);
/// A host that knows the upstreams only as of longer ago reads for itself, as the readers seem to be gone.
constexpr duration own_upstream_read_age = milliseconds(1500);

} // namespace

duration store_reading::bundle_wait() const
{
    return std::min(longest_bundle_wait, this->settings.revoke_limit / waits_in_revoke_limit);
}

bool store_reading::is_bundle_due(bool is_reader, const std::optional<duration>& age) const
{
    const duration limit = this->bundle_wait() * own_bundle_read_tenths / 10;
    return is_reader || age.value_or(limit) >= limit;
}

bool store_reading::are_upstreams_due(bool is_reader, const std::optional<duration>& age) const
{
    const duration limit = is_reader ? upstream_interval : own_upstream_read_age;
    return age.value_or(limit) >= limit;
}

} // namespace sailtiller
