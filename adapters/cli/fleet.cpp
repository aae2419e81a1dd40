#include "adapters/cli/fleet.hpp"

#include <algorithm>
#include <future>
#include <utility>

namespace hemlockshelf {

namespace {

// Bounds the threads that ask nodes at the same time.
constexpr std::size_t max_parallel_requests = 16;

std::string text_of(const nlohmann::json& json, const char* field)
{
    const auto found = json.find(field);
    return found != json.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string{};
}

void fill_from_status(node_report& report, const nlohmann::json& status)
{
    report.vm_ = text_of(status, "vm");
    report.failure_domain_ = text_of(status, "failure_domain");
    report.region_ = text_of(status, "region");
    report.state_ = text_of(status, "state");
    report.revision_ = status.value("revision", std::uint64_t{0});
}

node_report ask_node(const admin_client& client, const endpoint& node)
{
    node_report report;
    const auto status = client.get_from(node, "/v1/status");
    if (status)
    {
        fill_from_status(report, *status);
        return report;
    }
    report.vm_ = to_string(node);
    report.state_ = "unknown";
    report.problem_ = status.error().message_;
    return report;
}

node_report ask_member(const admin_client& client, const nlohmann::json& member)
{
    node_report report;
    report.vm_ = text_of(member, "vm");
    report.failure_domain_ = text_of(member, "failure_domain");
    report.region_ = text_of(member, "region");
    report.state_ = text_of(member, "liveness");
    const auto admin = parse_endpoint(text_of(member, "admin_address"));
    if (!admin)
    {
        report.problem_ = "its admin address is not known";
        return report;
    }
    const auto status = client.get_from(*admin, "/v1/status");
    if (!status)
    {
        report.problem_ = status.error().message_;
        return report;
    }
    fill_from_status(report, *status);
    return report;
}

template <class Item, class Ask>
std::vector<node_report> ask_all(const Item& items, Ask ask)
{
    std::vector<node_report> reports;
    std::vector<std::future<node_report>> running;
    const auto collect = [&]
    {
        for (auto& answer : running)
        {
            reports.push_back(answer.get());
        }
        running.clear();
    };
    for (const auto& item : items)
    {
        running.push_back(std::async(
            std::launch::async,
            [&ask, &item]
            {
                return ask(item);
            }));
        if (running.size() == max_parallel_requests)
        {
            collect();
        }
    }
    collect();
    return reports;
}

} // namespace

result<std::vector<node_report>>
survey_fleet(const admin_client& client, const cli_options& options)
{
    const auto members = client.get("/v1/members");
    std::vector<node_report> reports;
    if (members && members->contains("members"))
    {
        reports = ask_all(
            members->at("members"),
            [&client](const nlohmann::json& member)
            {
                return ask_member(client, member);
            });
    }
    else if (members || members.error().kind_ == error_kind::not_found)
    {
        reports = ask_all(
            options.nodes_,
            [&client](const endpoint& node)
            {
                return ask_node(client, node);
            });
    }
    else
    {
        return tl::unexpected<error>(members.error());
    }
    std::ranges::sort(reports, {}, &node_report::vm_);
    return reports;
}

std::uint64_t highest_revision(const std::vector<node_report>& reports)
{
    std::uint64_t highest = 0;
    for (const auto& report : reports)
    {
        highest = std::max(highest, report.revision_.value_or(0));
    }
    return highest;
}

} // namespace hemlockshelf
