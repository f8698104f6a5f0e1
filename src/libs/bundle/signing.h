// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/json.h>

#include <memory>
#include <string>
#include <vector>

namespace sailtiller {

/// Names a public key: the first 16 hexadecimal digits of the SHA-256 of its 32 bytes.
using signing_key_id = std::string;

/// An Ed25519 signature and the key that made it.
struct signature
{
    signing_key_id key;
    std::string bytes;
};

json to_json(const signature& item);
/// Throws `error` if the JSON isn't a signature.
signature signature_from_json(const json& item);

/// An operator's public key, which hosts get by their settings.
class public_key
{
public:
    /// Reads PEM text. Throws `error` if it holds no Ed25519 public key.
    static public_key from_pem(const std::string& pem, const std::string& source);

    [[nodiscard]] const signing_key_id& id() const { return this->key_id; }
    [[nodiscard]] bool verifies(std::string_view message, const signature& made) const;

private:
    friend class private_key;
    explicit public_key(std::string raw_bytes);

    std::string raw;
    signing_key_id key_id;
};

/// An operator's private key; it never leaves the operators' program.
class private_key
{
public:
    static private_key generate();
    /// Reads PEM text. Throws `error` if it holds no Ed25519 private key.
    static private_key from_pem(const std::string& pem, const std::string& source);

    [[nodiscard]] std::string to_pem() const;
    [[nodiscard]] std::string public_pem() const;
    [[nodiscard]] public_key public_part() const;
    [[nodiscard]] signature sign(std::string_view message) const;

private:
    explicit private_key(std::string seed_bytes)
        : seed(std::move(seed_bytes))
    {
    }

    std::string seed;
};

/// How many different trusted keys have validly signed the message.
std::size_t count_valid_signers(
    std::string_view message, const std::vector<signature>& made, const std::vector<public_key>& trusted);

} // namespace sailtiller
