// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <bundle/bundleassembler.h>
#include <bundle/bundlechecks.h>

namespace sailtiller {

namespace {

template <typename Item>
void append(std::vector<Item>& items, const std::vector<Item>& more)
{
    items.insert(items.end(), more.begin(), more.end());
}

void append_lists(bundle& content, const bundle& more)
{
    append(content.accounts, more.accounts);
    append(content.models, more.models);
    append(content.upstreams, more.upstreams);
    append(content.services, more.services);
}

void require_sound(const std::vector<json_fault>& faults, const std::string& step, const std::string& peer)
{
    if (!faults.empty()) {
        throw error({step, peer}, describe_faults(faults));
    }
}

} // namespace

bundle_assembler::fragment_pointer bundle_assembler::fragment_of(
    const part_digest& digest, const part_lookup& lookup) const
{
    const auto known = this->fragments.find(digest);
    if (known != this->fragments.end()) {
        return known->second;
    }
    const std::string* body = lookup(digest);
    if (body == nullptr) {
        throw error({"assemble bundle", digest.value()}, "the part is not held here yet");
    }
    std::vector<json_fault> faults;
    const json document = parse_json(*body, faults);
    require_sound(faults, "read bundle part", digest.value());
    auto fragment = std::make_shared<bundle_fragment>(read_bundle_fragment(document, faults));
    require_sound(faults, "read bundle part", digest.value());
    return fragment;
}

bundle bundle_assembler::assemble(const bundle_manifest& manifest, const part_lookup& lookup)
{
    std::unordered_map<part_digest, fragment_pointer> used;
    bundle content;
    std::size_t heads = 0;
    for (const part_digest& digest : manifest.parts) {
        const fragment_pointer fragment = this->fragment_of(digest, lookup);
        used.emplace(digest, fragment);
        if (fragment->has_head) {
            ++heads;
            bundle head = fragment->content;
            append_lists(head, content);
            content = std::move(head);
        } else {
            append_lists(content, fragment->content);
        }
    }
    if (heads != 1) {
        throw error({"assemble bundle", manifest.name}, "exactly one part must hold the bundle's head");
    }
    std::vector<json_fault> faults;
    check_bundle(content, faults);
    require_sound(faults, "check bundle", manifest.name);
    this->fragments = std::move(used);
    return content;
}

} // namespace sailtiller
