// Stand-in for the network between failure domains: relays TCP with delays,
// limits and faults.

#include <exception>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include "adapters/http/call_server.hpp"
#include "standins/link/link_handler.hpp"
#include "standins/link/link_settings.hpp"
#include "standins/link/relay.hpp"

DEFINE_string(settings, "", "path of the settings file (YAML or JSON)");

namespace {

void run(const hemlockshelf::link_settings& settings)
{
    boost::asio::io_context context(1);
    hemlockshelf::relay links(context, settings);
    const hemlockshelf::call_server admin(
        context, settings.admin_,
        [&links](hemlockshelf::http_request request)
            -> boost::asio::awaitable<hemlockshelf::http_response>
        {
            auto response = handle_link_request(links, request);
            co_return std::move(response);
        });
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&context](const auto&, int)
        {
            context.stop();
        });
    context.run();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = hemlockshelf::load_link_settings(FLAGS_settings);
    if (!settings)
    {
        std::cerr << settings.error().message_ << "\n";
        return 2;
    }
    try
    {
        run(*settings);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "link_standin: " << failure.what() << "\n";
        return 1;
    }
    return 0;
}
