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

/// Returns an address of this test's own: tests run in processes of their own.
endpoint own_address(std::uint16_t port);

/// The store's stand-in, served on loopback.
class served_store
{
public:
    served_store();
    ~served_store();

    served_store(const served_store&) = delete;
    served_store& operator=(const served_store&) = delete;

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

/// Returns a configuration with one route, as operators publish it.
nlohmann::json configuration(const std::string& version);

} // namespace hemlockshelf::test

#endif
