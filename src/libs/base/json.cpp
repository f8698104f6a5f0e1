// SPDX-License-Identifier: Apache-2.0
#include <base/json.h>

namespace sailtiller {

namespace {

/// A message of the library's quotes the text at which it stopped, which may be a whole document.
constexpr std::size_t max_reason_bytes = 200;

/// Builds a document from the events of the library's parsers, text or CBOR, and stops them at the bound on
/// depth: what copies, compares or writes a value recurses a level at a time, and so does the parser of CBOR.
class document_builder final : public json::json_sax_t
{
public:
    /// Adds a fault for each field that stands twice in one object; without a list, the last one counts.
    explicit document_builder(std::vector<json_fault>* faults = nullptr)
        : faults(faults)
    {
    }

    /// The document, once the parser has reported success.
    json take() { return std::move(this->root); }
    [[nodiscard]] const std::string& reason() const { return this->failure; }

    bool null() override { return this->add(nullptr); }
    bool boolean(bool value) override { return this->add(value); }
    bool number_integer(number_integer_t value) override { return this->add(value); }
    bool number_unsigned(number_unsigned_t value) override { return this->add(value); }
    bool number_float(number_float_t value, const string_t& /*text*/) override { return this->add(value); }
    bool string(string_t& value) override { return this->add(std::move(value)); }
    bool binary(binary_t& value) override { return this->add(json::binary(std::move(value))); }
    bool start_object(std::size_t /*elements*/) override { return this->open(json::object()); }
    bool start_array(std::size_t /*elements*/) override { return this->open(json::array()); }
    bool end_object() override { return this->close(); }
    bool end_array() override { return this->close(); }

    bool key(string_t& name) override
    {
        this->field = std::move(name);
        if (this->faults != nullptr && this->containers.back()->contains(this->field)) {
            this->faults->push_back({"/" + this->field, "", "field stands twice in one object; keep one"});
        }
        return true;
    }

    bool parse_error(
        std::size_t /*position*/, const std::string& /*token*/, const json::exception& malformed) override
    {
        this->failure = std::string(malformed.what()).substr(0, max_reason_bytes);
        return false;
    }

private:
    bool add(json value)
    {
        this->insert(std::move(value));
        return true;
    }

    bool open(json container)
    {
        if (this->containers.size() >= max_json_depth) {
            this->failure = "nested deeper than " + std::to_string(max_json_depth) + " levels";
            return false;
        }
        this->containers.push_back(&this->insert(std::move(container)));
        return true;
    }

    bool close()
    {
        this->containers.pop_back();
        return true;
    }

    json& insert(json value)
    {
        if (this->containers.empty()) {
            return this->root = std::move(value);
        }
        json& container = *this->containers.back();
        json& place = container.is_array() ? container.emplace_back() : container[this->field];
        return place = std::move(value);
    }

    std::vector<json_fault>* faults;
    json root;
    std::vector<json*> containers; ///< those that are open, the outermost first
    std::string field; ///< of the value that follows
    std::string failure;
};

json parse(std::string_view text, json::input_format_t format, document_builder& builder)
{
    if (!json::sax_parse(text.begin(), text.end(), &builder, format)) {
        throw json_malformed(builder.reason());
    }
    return builder.take();
}

} // namespace

json_malformed::json_malformed(const std::string& reason)
    : json::exception(0, reason.c_str())
{
}

json parse_json(std::string_view text)
{
    document_builder builder;
    return parse(text, json::input_format_t::json, builder);
}

json parse_json(std::string_view text, std::vector<json_fault>& faults)
{
    document_builder builder(&faults);
    try {
        return parse(text, json::input_format_t::json, builder);
    } catch (const json_malformed& malformed) {
        faults.push_back({"", "", std::string("not valid JSON: ") + malformed.what()});
        return nullptr;
    }
}

json parse_cbor(std::string_view bytes)
{
    document_builder builder;
    return parse(bytes, json::input_format_t::cbor, builder);
}

} // namespace sailtiller
