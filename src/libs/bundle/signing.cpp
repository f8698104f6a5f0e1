// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <bundle/digest.h>
#include <bundle/signing.h>

#include <array>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <set>

namespace sailtiller {

namespace {

constexpr std::size_t key_length = 32;
constexpr std::size_t signature_length = 64;
constexpr std::size_t key_id_length = 16;

struct openssl_deleter
{
    void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
    void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
    void operator()(BIO* stream) const { BIO_free(stream); }
};

using key_pointer = std::unique_ptr<EVP_PKEY, openssl_deleter>;
using digest_pointer = std::unique_ptr<EVP_MD_CTX, openssl_deleter>;
using bio_pointer = std::unique_ptr<BIO, openssl_deleter>;
using raw_key_function = int (*)(const EVP_PKEY*, unsigned char*, std::size_t*);

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

key_pointer private_from_seed(const std::string& seed)
{
    return key_pointer(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, as_bytes(seed), seed.size()));
}

std::string raw_bytes_of(const EVP_PKEY* key, raw_key_function read_raw)
{
    std::array<unsigned char, key_length> raw{};
    std::size_t length = raw.size();
    if (key == nullptr || EVP_PKEY_get_base_id(key) != EVP_PKEY_ED25519
        || read_raw(key, raw.data(), &length) != 1) {
        return "";
    }
    return {reinterpret_cast<const char*>(raw.data()), length};
}

std::string text_of(BIO* stream)
{
    char* data = nullptr;
    const long length = BIO_get_mem_data(stream, &data);
    return {data, static_cast<std::size_t>(length)};
}

bio_pointer reader_of(const std::string& pem)
{
    return bio_pointer(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
}

} // namespace

json to_json(const signature& item)
{
    return {{"key", item.key}, {"signature", to_base64(item.bytes)}};
}

signature signature_from_json(const json& item)
{
    const bool is_object = item.is_object() && item.contains("key") && item.contains("signature");
    if (!is_object || !item["key"].is_string() || !item["signature"].is_string()) {
        throw error({"read signature", ""}, "expected an object with the texts key and signature");
    }
    return {item["key"].get<std::string>(), from_base64(item["signature"].get<std::string>())};
}

public_key::public_key(std::string raw_bytes)
    : raw(std::move(raw_bytes))
    , key_id(digest_of(this->raw).value().substr(0, key_id_length))
{
}

public_key public_key::from_pem(const std::string& pem, const std::string& source)
{
    const bio_pointer stream = reader_of(pem);
    const key_pointer key(PEM_read_bio_PUBKEY(stream.get(), nullptr, nullptr, nullptr));
    std::string raw = raw_bytes_of(key.get(), EVP_PKEY_get_raw_public_key);
    if (raw.empty()) {
        throw error({"read public key", source}, "holds no Ed25519 public key in PEM form");
    }
    return public_key(std::move(raw));
}

bool public_key::verifies(std::string_view message, const signature& made) const
{
    if (made.key != this->key_id || made.bytes.size() != signature_length) {
        return false;
    }
    const key_pointer key(
        EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, as_bytes(this->raw), this->raw.size()));
    const digest_pointer context(EVP_MD_CTX_new());
    return key && EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1
        && EVP_DigestVerify(
               context.get(), as_bytes(made.bytes), made.bytes.size(), as_bytes(message), message.size())
        == 1;
}

private_key private_key::generate()
{
    const key_pointer key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
    std::string seed = raw_bytes_of(key.get(), EVP_PKEY_get_raw_private_key);
    if (seed.empty()) {
        throw error({"generate key", ""}, "the system's cryptographic library gave no Ed25519 key");
    }
    return private_key(std::move(seed));
}

private_key private_key::from_pem(const std::string& pem, const std::string& source)
{
    const bio_pointer stream = reader_of(pem);
    const key_pointer key(PEM_read_bio_PrivateKey(stream.get(), nullptr, nullptr, nullptr));
    std::string seed = raw_bytes_of(key.get(), EVP_PKEY_get_raw_private_key);
    if (seed.empty()) {
        throw error({"read private key", source}, "holds no Ed25519 private key in PEM form");
    }
    return private_key(std::move(seed));
}

std::string private_key::to_pem() const
{
    const key_pointer key = private_from_seed(this->seed);
    const bio_pointer stream(BIO_new(BIO_s_mem()));
    PEM_write_bio_PrivateKey(stream.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    return text_of(stream.get());
}

std::string private_key::public_pem() const
{
    const key_pointer key = private_from_seed(this->seed);
    const bio_pointer stream(BIO_new(BIO_s_mem()));
    PEM_write_bio_PUBKEY(stream.get(), key.get());
    return text_of(stream.get());
}

public_key private_key::public_part() const
{
    const key_pointer key = private_from_seed(this->seed);
    return public_key(raw_bytes_of(key.get(), EVP_PKEY_get_raw_public_key));
}

signature private_key::sign(std::string_view message) const
{
    const key_pointer key = private_from_seed(this->seed);
    const digest_pointer context(EVP_MD_CTX_new());
    std::array<unsigned char, signature_length> bytes{};
    std::size_t length = bytes.size();
    if (EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) != 1
        || EVP_DigestSign(context.get(), bytes.data(), &length, as_bytes(message), message.size()) != 1) {
        throw error({"sign", ""}, "the system's cryptographic library refused");
    }
    return {this->public_part().id(), {reinterpret_cast<const char*>(bytes.data()), length}};
}

std::size_t count_valid_signers(
    std::string_view message, const std::vector<signature>& made, const std::vector<public_key>& trusted)
{
    std::set<signing_key_id> signers;
    for (const signature& item : made) {
        for (const public_key& key : trusted) {
            if (!signers.contains(key.id()) && key.verifies(message, item)) {
                signers.insert(key.id());
            }
        }
    }
    return signers.size();
}

} // namespace sailtiller
