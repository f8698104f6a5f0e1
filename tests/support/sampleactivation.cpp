// SPDX-License-Identifier: Apache-2.0
#include <support/sampleactivation.h>

namespace sailtiller::tests {

sample_operator::sample_operator(std::string name)
    : name(std::move(name))
{
}

signed_activation sample_operator::activate(const activation_fold& fold, const part_digest& manifest)
{
    activation content;
    content.id = activation_id(this->name + "-" + std::to_string(++this->made));
    content.deployment = "fleet";
    content.generation = generation_number(fold.generation().value() + 1);
    content.follows = fold.in_force() ? fold.in_force()->content.id : activation_id();
    content.manifest = manifest;
    content.operator_name = this->name;
    content.reason = "test";
    return this->activate(content);
}

signed_activation sample_operator::activate(const activation& content)
{
    signed_activation item;
    item.statement = to_statement(content);
    item.signatures = {this->own_key.sign(item.statement)};
    item.sign_offs = {this->own_key.sign(sign_off_message(content.deployment, content.manifest))};
    return item;
}

trust_settings trust_in(const std::vector<const sample_operator*>& operators)
{
    trust_settings trust;
    trust.deployment = "fleet";
    for (const sample_operator* item : operators) {
        trust.keys.push_back(item->key().public_part());
    }
    return trust;
}

} // namespace sailtiller::tests
