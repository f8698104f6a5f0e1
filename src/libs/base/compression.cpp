// SPDX-License-Identifier: Apache-2.0
#include <base/compression.h>
#include <base/error.h>

#include <array>
#include <zlib.h>

namespace sailtiller {

namespace {

constexpr std::size_t block_bytes = 16384;

/// zlib takes its input as bytes that it never writes to.
Bytef* input_bytes(std::string_view text)
{
    return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

} // namespace

std::string pack_text(std::string_view text)
{
    uLongf size = compressBound(static_cast<uLong>(text.size()));
    std::string packed(size, '\0');
    const int result = compress2(reinterpret_cast<Bytef*>(packed.data()), &size, input_bytes(text),
        static_cast<uLong>(text.size()), Z_BEST_SPEED);
    if (result != Z_OK) {
        throw error({"pack text", ""}, "zlib gave " + std::to_string(result));
    }
    packed.resize(size);
    return packed;
}

std::string unpack_text(std::string_view packed, std::size_t most_bytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        throw error({"unpack text", ""}, "zlib can't begin");
    }
    stream.next_in = input_bytes(packed);
    stream.avail_in = static_cast<uInt>(packed.size());
    std::string text;
    std::array<char, block_bytes> block{};
    int result = Z_OK;
    while (result == Z_OK && text.size() <= most_bytes) {
        stream.next_out = reinterpret_cast<Bytef*>(block.data());
        stream.avail_out = block_bytes;
        result = inflate(&stream, Z_NO_FLUSH);
        text.append(block.data(), block_bytes - stream.avail_out);
    }
    inflateEnd(&stream);
    if (text.size() > most_bytes) {
        throw error({"unpack text", ""}, "more than " + std::to_string(most_bytes) + " bytes");
    }
    if (result != Z_STREAM_END) {
        throw error({"unpack text", ""}, "malformed: zlib gave " + std::to_string(result));
    }
    return text;
}

} // namespace sailtiller
