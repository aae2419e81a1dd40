#include "platform_fixture.hpp"

#include <fmt/format.h>
#include <unistd.h>

namespace hemlockshelf::test {

namespace {

constexpr std::size_t server_threads = 4;
constexpr std::uint16_t store_port = 17010;
constexpr std::chrono::milliseconds call_timeout{2000};

} // namespace

endpoint own_address(std::uint16_t port)
{
    const auto id = static_cast<unsigned>(::getpid());
    return {
        fmt::format("127.43.{}.{}", (id >> 8U) % 256, 1 + (id % 250)), port};
}

store_fixture::store_fixture()
    : address_(own_address(store_port)),
      server_(
          context_,
          address_,
          server_threads,
          [this](const http_request& request, const std::string& client)
          {
              return service_.handle(request, client);
          }),
      thread_(
          [this]
          {
              context_.run();
          })
{}

store_fixture::~store_fixture()
{
    context_.stop();
    thread_.join();
}

http_target store_fixture::target() const
{
    return {address_, {}, call_timeout};
}

nlohmann::json configuration(const std::string& version)
{
    const auto service = [](const char* name)
    {
        return nlohmann::json{
            {"resource_type", "services"},
            {"metadata", {{"name", name}}},
            {"spec", {{"health_path", "/health"}, {"max_connections", 110}}}};
    };
    const nlohmann::json route{
        {"resource_type", "routes"},
        {"metadata", {{"name", "r-1"}}},
        {"spec",
         {{"host", "a.example"},
          {"prefix", "/orders/"},
          {"kind", "non_idempotent"},
          {"timeout", "0.8s"},
          {"target_latency", "300ms"},
          {"priority", 1},
          {"max_attempts", 2},
          {"weighted_clusters",
           {{{"service", "desk"}, {"weight", 90}},
            {{"service", "catalogue"}, {"weight", 10}}}}}}};
    return {
        {"version", version},
        {"resources", {route, service("desk"), service("catalogue")}}};
}

} // namespace hemlockshelf::test
