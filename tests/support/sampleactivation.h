// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <bundle/activationfold.h>

namespace sailtiller::tests {

/// An operator with a key of its own who activates bundles for the deployment "fleet".
class sample_operator
{
public:
    explicit sample_operator(std::string name);

    [[nodiscard]] const private_key& key() const { return this->own_key; }
    /// An activation of the manifest that follows what the fold has in force.
    signed_activation activate(const activation_fold& fold, const part_digest& manifest);
    /// An activation with every field chosen by the test.
    signed_activation activate(const activation& content);

private:
    std::string name;
    private_key own_key = private_key::generate();
    std::uint64_t made = 0;
};

/// The trust settings of the deployment "fleet" with these operators' keys.
trust_settings trust_in(const std::vector<const sample_operator*>& operators);

} // namespace sailtiller::tests
