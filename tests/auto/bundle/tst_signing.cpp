// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <bundle/digest.h>
#include <bundle/signing.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

TEST(signing, a_key_survives_its_pem_form)
{
    const private_key key = private_key::generate();
    const private_key again = private_key::from_pem(key.to_pem(), "test");
    const public_key trusted = public_key::from_pem(key.public_pem(), "test");
    EXPECT_EQ(trusted.id(), key.public_part().id());
    EXPECT_TRUE(trusted.verifies("text", again.sign("text")));
}

TEST(signing, an_altered_text_or_signature_does_not_verify)
{
    const private_key key = private_key::generate();
    signature made = key.sign("text");
    EXPECT_FALSE(key.public_part().verifies("Text", made));
    made.bytes[3] = static_cast<char>(made.bytes[3] ^ 1);
    EXPECT_FALSE(key.public_part().verifies("text", made));
}

TEST(signing, one_key_counts_once_however_often_it_signs)
{
    const private_key first = private_key::generate();
    const private_key second = private_key::generate();
    const std::vector<public_key> trusted{first.public_part(), second.public_part()};
    EXPECT_EQ(count_valid_signers("text", {first.sign("text"), first.sign("text")}, trusted), 1U);
    EXPECT_EQ(count_valid_signers("text", {first.sign("text"), second.sign("text")}, trusted), 2U);
    EXPECT_EQ(count_valid_signers("text", {private_key::generate().sign("text")}, trusted), 0U);
}

TEST(signing, a_file_without_a_key_is_named)
{
    try {
        public_key::from_pem("nonsense", "operator.pub");
        FAIL();
    } catch (const error& failure) {
        EXPECT_EQ(failure.peer(), "operator.pub");
    }
}

TEST(digest, encodings_survive_the_way_there_and_back)
{
    for (const std::string& bytes :
        {std::string(), std::string("a"), std::string("ab\0c", 4), std::string(100, '\xff')}) {
        EXPECT_EQ(from_hex(to_hex(bytes)), bytes);
        EXPECT_EQ(from_base64(to_base64(bytes)), bytes);
    }
    EXPECT_EQ(from_hex("0g"), "");
    EXPECT_EQ(from_base64("abc"), "");
}

} // namespace

} // namespace sailtiller
