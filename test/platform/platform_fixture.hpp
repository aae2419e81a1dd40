#ifndef HEMLOCKSHELF_TEST_PLATFORM_PLATFORM_FIXTURE_HPP
#define HEMLOCKSHELF_TEST_PLATFORM_PLATFORM_FIXTURE_HPP

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "adapters/http/endpoint.hpp"
#include "adapters/http/http_client.hpp"
#include "adapters/http/json_server.hpp"
#include "adapters/telemetry/prometheus_metrics.hpp"
#include "hemlockshelf/core/real_clock.hpp"
#include "standins/store/store_service.hpp"

namespace hemlockshelf::test {

/// Returns a loopback address derived from the process id. Each test runs in a
/// process of its own, so that parallel tests use different addresses.
endpoint own_address(std::uint16_t port);

/// Serves the store's stand-in on a loopback address.
class store_fixture
{
public:
    store_fixture();
    ~store_fixture();

    store_fixture(const store_fixture&) = delete;
    store_fixture& operator=(const store_fixture&) = delete;

    [[nodiscard]] http_target target() const;

    store_service service_;
    prometheus_metrics metrics_;
    std::shared_ptr<const clock> time_ = std::make_shared<real_clock>();

private:
    endpoint address_;
    boost::asio::io_context context_;
    json_server server_;
    std::thread thread_;
};

/// Returns a configuration document with one route and two services.
nlohmann::json configuration(const std::string& version);

} // namespace hemlockshelf::test

#endif
