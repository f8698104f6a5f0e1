// SPDX-License-Identifier: Apache-2.0
#include <base/memorybudget.h>
#include <base/messagebody.h>

#include <utility>

namespace sailtiller {

struct message_body::storage
{
    storage(std::string bytes, std::unique_ptr<memory_share> counted)
        : text(std::move(bytes))
        , share(std::move(counted))
    {
    }

    std::string text;
    std::unique_ptr<memory_share> share;
};

message_body::message_body(std::string text)
    : message_body(std::move(text), nullptr)
{
}

message_body::message_body(const char* text)
    : message_body(std::string(text))
{
}

message_body::message_body(std::string text, std::unique_ptr<memory_share> share)
{
    if (!text.empty()) {
        this->bytes = std::make_shared<const storage>(std::move(text), std::move(share));
    }
}

const std::string& message_body::text() const
{
    static const std::string none;
    return this->bytes ? this->bytes->text : none;
}

} // namespace sailtiller
