// SPDX-License-Identifier: Apache-2.0
// The callers' protocols, spoken by curl: HTTP/2 by prior knowledge, and TLS with HTTP/2 by ALPN.
#include "fleetbed.h"

namespace sailtiller::tests {

namespace {

using standins::expected_text;

constexpr const char* curl = "/usr/bin/curl";
constexpr const char* openssl = "/usr/bin/openssl";
constexpr const char* body = R"({"model":"model-0","max_tokens":20,"prompt":"curl","stream":true})";

class protocols : public fleet_bed
{
protected:
    void SetUp() override { this->start_engines({}); }

    std::string call(const std::vector<std::string>& flags, const std::string& scheme, const bed_host& host)
    {
        std::vector<std::string> arguments{"-sS", "-N", "-w", "\nversion=%{http_version}", "-H",
            "authorization: Bearer key-0", "-d", body,
            scheme + "://" + host.callers.value() + "/v1/completions"};
        arguments.insert(arguments.begin(), flags.begin(), flags.end());
        child_process process(curl, arguments);
        EXPECT_EQ(this->wait_for(process), 0) << this->last_output;
        return this->last_output;
    }

    static std::string streamed_text(const std::string& output)
    {
        std::string text;
        std::istringstream lines(output);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("data: {")) {
                text += json::parse(line.substr(6))["choices"][0]["text"].get<std::string>();
            }
        }
        return text;
    }
};

TEST_F(protocols, http2_by_prior_knowledge)
{
    bed_host& host = this->start_host("a");
    this->activate("one", {&host});
    const std::string output = this->call({"--http2-prior-knowledge"}, "http", host);
    EXPECT_EQ(streamed_text(output), expected_text("curl", bed_layers, 20));
    EXPECT_NE(output.find("data: [DONE]"), std::string::npos);
    EXPECT_NE(output.find("version=2"), std::string::npos);
}

TEST_F(protocols, tls_with_http2_by_alpn_and_http1)
{
    child_process make_certificate(openssl,
        {"req", "-x509", "-newkey", "ed25519", "-nodes", "-days", "2", "-subj", "/CN=127.0.0.1", "-addext",
            "subjectAltName=IP:127.0.0.1", "-keyout", this->path("tls.key"), "-out", this->path("tls.pem")});
    ASSERT_EQ(this->wait_for(make_certificate), 0) << this->last_output;
    bed_host& host = this->start_host(
        "a", {"--tls-certificate", this->path("tls.pem"), "--tls-key", this->path("tls.key")});
    this->activate("one", {&host});
    const std::vector<std::string> trust{"--cacert", this->path("tls.pem")};
    const std::string by_alpn = this->call(trust, "https", host);
    EXPECT_EQ(streamed_text(by_alpn), expected_text("curl", bed_layers, 20));
    EXPECT_NE(by_alpn.find("version=2"), std::string::npos);
    const std::string http1 = this->call({"--cacert", this->path("tls.pem"), "--http1.1"}, "https", host);
    EXPECT_EQ(streamed_text(http1), expected_text("curl", bed_layers, 20));
}

TEST_F(protocols, a_certificate_that_cannot_be_used_stops_the_start_with_its_name)
{
    bed_host& host = this->start_host(
        "a", {"--tls-certificate", this->path("missing.pem"), "--tls-key", this->path("missing.key")});
    EXPECT_EQ(host.process->exit_code(), 1);
    EXPECT_NE(host.process->output().find("missing.pem"), std::string::npos);
}

} // namespace

} // namespace sailtiller::tests
