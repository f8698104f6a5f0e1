// SPDX-License-Identifier: Apache-2.0
// What the hosts of a site tell each other, and a configuration on its way: bytes and time of a report by the
// size of the site, and of a bundle's text packed and unpacked. Prints tables.
#include <base/compression.h>
#include <base/random.h>
#include <fleet/membership.h>

#include <chrono>
#include <cstdio>
#include <functional>

namespace sailtiller {

namespace {

constexpr std::size_t halls = 3;
constexpr int turns = 200;

struct site_size
{
    std::size_t hosts = 0;
    std::size_t upstreams = 0;
};

std::string make_name(const char* prefix, std::size_t number)
{
    return prefix + std::to_string(100'000'000 + number * 7919);
}

/// A report of a host whose requests use the upstreams of its own hall.
peer_report make_report(const site_size& size, bool has_news)
{
    peer_report report;
    report.sender = {
        host_id(make_name("edge-hall-a-", 1)), endpoint("10.1.0.40:7340"), data_hall_id("hall-a")};
    report.bundle_version = 12345;
    report.bundle_age = std::chrono::milliseconds(420);
    report.entries_offset = 987'654;
    report.entries_age = std::chrono::milliseconds(310);
    for (std::size_t number = 0; number < size.upstreams / halls; ++number) {
        report.work.push_back(
            {upstream_id(make_name("i-", number)), 20'000.0 + static_cast<double>(number), 3});
    }
    for (std::size_t number = 0; has_news && number < membership_settings().max_per_report; ++number) {
        host_state news;
        news.host = {
            host_id(make_name("edge-hall-a-", number)), endpoint("10.1.0.40:7340"), data_hall_id("hall-a")};
        report.news.push_back(news);
    }
    return report;
}

double time_us(const std::function<void()>& action)
{
    const auto start = std::chrono::steady_clock::now();
    for (int turn = 0; turn < turns; ++turn) {
        action();
    }
    const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - start;
    return taken.count() / turns;
}

void print_reports()
{
    std::printf("| hosts | upstreams | report B | with news of hosts B | written us | read us |\n"
                "| --- | --- | --- | --- | --- | --- |\n");
    for (const site_size& size :
        {site_size{6, 41}, site_size{59, 96}, site_size{400, 600}, site_size{986, 3000}}) {
        const peer_report report = make_report(size, false);
        const std::string bytes = encode_peer_report(report);
        const std::string with_news = encode_peer_report(make_report(size, true));
        const double written = time_us([&report] { (void)encode_peer_report(report); });
        const double read = time_us([&bytes] { (void)decode_peer_report(bytes); });
        std::printf("| %zu | %zu | %zu | %zu | %.1f | %.1f |\n", size.hosts, size.upstreams, bytes.size(),
            with_news.size(), written, read);
    }
}

std::string make_bundle_text(std::size_t routes)
{
    const random_function random = make_seeded_random(5);
    std::string text = "{\"version\":12345,\"routes\":[";
    for (std::size_t number = 0; number < routes; ++number) {
        const std::string name = std::to_string(random() % 100'000'000);
        text += "{\"name\":\"r";
        text += name;
        text += "\",\"host\":\"h";
        text += name;
        text += ".example\",\"path-prefix\":\"/p";
        text += name;
        text += "/\",\"service\":\"engines\",\"kind\":\"streaming\",\"timeout-ms\":20000,"
                "\"target-latency-ms\":500,\"gap-aim-ms\":250,\"priority\":1,\"max-attempts\":2,"
                "\"resumable\":true,\"sticky\":true},";
    }
    text.back() = ']';
    return text + "}";
}

void print_bundles()
{
    std::printf("\n| routes | text B | packed B | packed in us | unpacked in us |\n| --- | --- | --- | --- | "
                "--- |\n");
    for (const std::size_t routes : {std::size_t{250}, std::size_t{1'650}}) {
        const std::string text = make_bundle_text(routes);
        const std::string packed = pack_text(text);
        const double pack = time_us([&text] { (void)pack_text(text); });
        const double unpack = time_us([&packed, &text] { (void)unpack_text(packed, text.size()); });
        std::printf("| %zu | %zu | %zu | %.0f | %.0f |\n", routes, text.size(), packed.size(), pack, unpack);
    }
}

} // namespace

} // namespace sailtiller

int main()
{
    sailtiller::print_reports();
    sailtiller::print_bundles();
    return 0;
}
