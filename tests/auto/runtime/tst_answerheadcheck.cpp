// SPDX-License-Identifier: Apache-2.0
#include <runtime/answerheadcheck.h>

#include <gtest/gtest.h>

namespace sailtiller {

namespace {

/// What is wrong with the bytes, given in two parts that are cut at `cut`; empty if nothing is.
std::string check(const std::string& bytes, std::size_t cut)
{
    answer_head_check head;
    const auto first = head.take(bytes.substr(0, cut));
    const auto second = first ? first : head.take(bytes.substr(cut));
    return second.value_or("");
}

TEST(answer_head_check_test, finds_the_same_in_any_cut_of_the_bytes)
{
    const std::string sound =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\nx: a b\r\n\r\nb\001: \n";
    const std::string unsound = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t cut = 0; cut <= unsound.size(); ++cut) {
        EXPECT_EQ(check(sound, cut), "") << cut;
        EXPECT_EQ(check(unsound, cut), "it has a length and a transfer coding") << cut;
    }
}

TEST(answer_head_check_test, judges_each_head_by_its_own_fields)
{
    EXPECT_EQ(check("HTTP/1.1 103 Early\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"
                    "transfer-encoding: chunked\r\n\r\n",
                  0),
        "");
}

} // namespace

} // namespace sailtiller
