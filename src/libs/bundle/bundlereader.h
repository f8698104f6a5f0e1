// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/bundle.h>

namespace sailtiller {

/// What reading a bundle gave: the bundle, or every fault that was found in one run.
struct bundle_reading
{
    bundle content;
    std::vector<json_fault> faults;

    [[nodiscard]] bool is_sound() const { return this->faults.empty(); }
};

/// A part of a bundle: some items of its lists, or its head with everything else.
struct bundle_fragment
{
    bundle content;
    bool has_head = false;
};

/// Reads a part of a bundle; adds a fault for each field that is wrong by itself.
bundle_fragment read_bundle_fragment(const json& document, std::vector<json_fault>& faults);
/// Reads and checks a whole bundle.
bundle_reading read_bundle(const json& document);
/// Reads JSON text; malformed text and doubled fields are faults as well.
bundle_reading read_bundle_text(std::string_view text);
/// One line for each fault: path, value and reason.
std::string describe_faults(const std::vector<json_fault>& faults);

} // namespace sailtiller
