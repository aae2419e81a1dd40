#include "experiment/storm_documents.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hemlockshelf {

namespace {

constexpr std::size_t services = 4;
constexpr std::uint64_t max_version_step = 7;
/// Routes that one version changes, and of these the ones that it replaces.
constexpr std::size_t changed_routes = 6;
constexpr std::size_t replaced_routes = 2;
constexpr unsigned min_timeout_ms = 500;
constexpr unsigned timeout_range_ms = 1000;

std::string service_of(std::size_t number)
{
    return fmt::format("service-{}", number % services);
}

nlohmann::json
resource(const char* type, const std::string& name, const nlohmann::json& spec)
{
    return {
        {"resource_type", type},
        {"metadata", {{"name", name}}},
        {"spec", spec}};
}

} // namespace

std::string path_of_version(revision number)
{
    return fmt::format("/version-{}/", number.value());
}

storm_documents::storm_documents(std::size_t routes, std::uint64_t seed)
    : random_(seed), next_route_(routes)
{
    for (std::size_t number = 0; number < routes; ++number)
    {
        routes_.push_back({number, min_timeout_ms});
    }
}

storm_document storm_documents::next()
{
    advance();
    for (std::size_t changed = 0; changed < changed_routes; ++changed)
    {
        auto& route = routes_[draw(routes_.size())];
        route.timeout_ms_ =
            min_timeout_ms + static_cast<unsigned>(draw(timeout_range_ms));
        if (changed < replaced_routes)
        {
            route.number_ = next_route_++;
        }
    }
    versions_.emplace_back(number_);
    return {revision{number_}, text()};
}

storm_document storm_documents::next_broken()
{
    advance();
    auto valid_document = text();
    std::string broken;
    switch (draw(3))
    {
    case 0:
        broken = valid_document.substr(0, valid_document.size() / 2);
        break;
    case 1:
        broken =
            nlohmann::json{{"version", fmt::format("r{}", number_)}}.dump();
        break;
    default:
    {
        auto document = nlohmann::json::parse(valid_document);
        document.at("resources").back().at("spec").erase("prefix");
        broken = document.dump();
    }
    }
    return {revision{number_}, std::move(broken), false};
}

std::uint64_t storm_documents::draw(std::uint64_t below)
{
    return random_() % below;
}

void storm_documents::advance()
{
    number_ += 1 + draw(max_version_step);
}

std::string storm_documents::text() const
{
    auto resources = nlohmann::json::array();
    for (std::size_t number = 0; number < services; ++number)
    {
        resources.push_back(resource(
            "services", service_of(number),
            {{"health_path", "/health"}, {"max_connections", 110}}));
    }
    for (const auto& route : routes_)
    {
        resources.push_back(resource(
            "routes", fmt::format("route-{}", route.number_),
            {{"host", storm_host},
             {"prefix", fmt::format("/{}/", route.number_)},
             {"kind", "idempotent"},
             {"timeout", fmt::format("{}ms", route.timeout_ms_)},
             {"service", service_of(route.number_)}}));
    }
    for (const auto version : versions_)
    {
        resources.push_back(resource(
            "routes", fmt::format("version-{}", version.value()),
            {{"host", storm_host},
             {"prefix", path_of_version(version)},
             {"kind", "idempotent"},
             {"timeout", fmt::format("{}ms", min_timeout_ms)},
             {"service", service_of(0)}}));
    }
    return nlohmann::json{
        {"version", fmt::format("r{}", number_)},
        {"resources", std::move(resources)}}
        .dump();
}

} // namespace hemlockshelf
