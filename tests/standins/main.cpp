// SPDX-License-Identifier: Apache-2.0
// One stand-in as a process: sailtiller_standin ROLE --listen ADDRESS, for the demonstration and manual
// tests.
#include <base/error.h>
#include <runtime/signalwatch.h>
#include <standins/enginestandin.h>
#include <standins/hostsstandin.h>
#include <standins/logstandin.h>
#include <standins/servicestandin.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace {

using namespace sailtiller;
namespace po = boost::program_options;

using handler = std::function<void(std::shared_ptr<http_exchange>)>;

handler make_handler(event_loop& loop, const po::variables_map& values)
{
    const auto role = values["role"].as<std::string>();
    if (role == "log") {
        auto item = std::make_shared<standins::log_standin>(loop);
        return [item](const std::shared_ptr<http_exchange>& exchange) { item->handle(exchange); };
    }
    if (role == "hosts") {
        auto item = std::make_shared<standins::hosts_standin>();
        return [item](const std::shared_ptr<http_exchange>& exchange) { item->handle(exchange); };
    }
    if (role == "service") {
        auto item = std::make_shared<standins::service_standin>();
        return [item](const std::shared_ptr<http_exchange>& exchange) { item->handle(exchange); };
    }
    if (role == "engine") {
        standins::engine_settings settings;
        settings.layers = values["layers"].as<std::uint32_t>();
        settings.step_time = std::chrono::microseconds(values["step-us"].as<std::int64_t>());
        settings.prefill_time = std::chrono::microseconds(values["prefill-us"].as<std::int64_t>());
        auto item = std::make_shared<standins::engine_standin>(loop, settings);
        return [item](const std::shared_ptr<http_exchange>& exchange) { item->handle(exchange); };
    }
    throw error({"read role", role}, "must be log, hosts, service or engine");
}

int run(int argc, char** argv)
{
    po::options_description options("Stand-in");
    options.add_options()("role", po::value<std::string>()->required())("listen",
        po::value<std::string>()->required())("layers", po::value<std::uint32_t>()->default_value(1))(
        "step-us", po::value<std::int64_t>()->default_value(0))(
        "prefill-us", po::value<std::int64_t>()->default_value(0));
    po::positional_options_description positional;
    positional.add("role", 1);
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(), values);
    po::notify(values);

    event_loop loop;
    const signal_watch signals(loop, {SIGTERM, SIGINT}, [&loop](int) { loop.stop(); });
    http_server_limits limits;
    limits.most_body_bytes = 64U << 20U;
    http_server server(loop, limits, std::nullopt, make_handler(loop, values));
    const endpoint bound = server.listen(endpoint(values["listen"].as<std::string>()));
    std::cout << "listening on " << bound << std::endl;
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return 2;
    }
}
