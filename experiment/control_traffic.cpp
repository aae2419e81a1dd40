#include "experiment/control_traffic.hpp"

namespace hemlockshelf {

namespace {

bytes_by_scope read_bytes(const cluster& mesh)
{
    bytes_by_scope bytes{
        {"local", 0}, {"domain", 0}, {"region", 0}, {"platform", 0}};
    const auto counters = mesh.link_counters();
    for (const auto& pair : counters.at("pairs"))
    {
        const auto kind = pair.at("kind").get<std::string>();
        const auto amount = pair.at("bytes").get<double>();
        if (kind == "platform")
        {
            bytes["platform"] += amount;
        }
        else if (kind == "control" && pair.at("from") == pair.at("to"))
        {
            bytes["local"] += amount;
        }
        else if (kind == "control")
        {
            const bool same = pair.at("from_region") == pair.at("to_region");
            bytes[same ? "domain" : "region"] += amount;
        }
    }
    return bytes;
}

} // namespace

traffic_window::traffic_window(const cluster& mesh)
    : mesh_(mesh), before_(read_bytes(mesh)),
      start_(std::chrono::steady_clock::now())
{}

double traffic_window::seconds() const
{
    return std::chrono::duration<double>(
               std::chrono::steady_clock::now() - start_)
        .count();
}

bytes_by_scope traffic_window::bytes() const
{
    return bytes_above({});
}

bytes_by_scope traffic_window::rates() const
{
    auto rates = bytes();
    const auto elapsed = seconds();
    for (auto& [scope, rate] : rates)
    {
        rate /= elapsed;
    }
    return rates;
}

bytes_by_scope traffic_window::bytes_above(const bytes_by_scope& idle) const
{
    auto counted = read_bytes(mesh_);
    const auto elapsed = seconds();
    for (auto& [scope, amount] : counted)
    {
        const auto rate = idle.find(scope);
        amount -= before_.at(scope);
        amount -= rate == idle.end() ? 0 : rate->second * elapsed;
    }
    return counted;
}

} // namespace hemlockshelf
