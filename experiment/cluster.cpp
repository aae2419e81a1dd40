#include "experiment/cluster.hpp"

#include <csignal>
#include <filesystem>

#include <fmt/format.h>

#include "experiment/settings_files.hpp"
#include "experiment/wait.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

/// Starting 128 nodes on a loaded machine takes a few seconds.
constexpr std::chrono::seconds start_timeout{60};
/// Upper limit of a node's graceful shutdown.
constexpr std::chrono::seconds stop_timeout{30};

} // namespace

cluster::cluster(cluster_options options)
    : options_(std::move(options)),
      places_(make_places(options_.deployment_, block_, options_.nodes_)),
      folder_(make_temporary_folder()), slots_(places_.size())
{
    write_file(
        file("link.json"), link_settings_text(options_, places_, block_));
    for (std::size_t index = 0; index < places_.size(); ++index)
    {
        write_file(
            file(places_[index].vm_ + ".yaml"),
            node_settings_text(options_, places_, index));
    }
}

cluster::~cluster()
{
    slots_.clear();
    link_.reset();
    platform_.reset();
    if (!keep_files_)
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

std::vector<std::string> cluster::start()
{
    platform_.emplace(
        std::vector<std::string>{
            binary("platform_standin"), "--listen",
            to_string(platform_endpoint(block_))},
        file("platform.log"));
    link_.emplace(
        std::vector<std::string>{
            binary("link_standin"), "--settings", file("link.json")},
        file("link.log"));
    for (std::size_t index = 0; index < size(); ++index)
    {
        start_node(index);
        start_upstream(index);
    }
    return wait_for_nodes();
}

std::vector<std::string> cluster::stop()
{
    auto problems = missing_processes();
    for (auto& slot : slots_)
    {
        if (slot.node_expected_)
        {
            slot.node_->signal(SIGTERM);
        }
    }
    for (std::size_t index = 0; index < size(); ++index)
    {
        auto& slot = slots_[index];
        if (!slot.node_expected_)
        {
            continue;
        }
        const auto status = slot.node_->wait_for(stop_timeout);
        if (status != 0)
        {
            problems.push_back(fmt::format(
                "{}: ended with {} after SIGTERM", places_[index].vm_,
                status ? fmt::format("status {}", *status)
                       : std::string("no status")));
        }
        slot.node_expected_ = false;
    }
    return problems;
}

std::vector<std::string> cluster::missing_processes()
{
    std::vector<std::string> missing;
    for (std::size_t index = 0; index < size(); ++index)
    {
        auto& slot = slots_[index];
        if (slot.node_expected_ && !slot.node_->running())
        {
            missing.push_back(fmt::format(
                "{}: the node exited unexpectedly with status {}",
                places_[index].vm_,
                slot.node_->wait_for(std::chrono::seconds{0}).value_or(-1)));
            slot.node_expected_ = false;
        }
        if (slot.upstream_expected_ && !slot.upstream_->running())
        {
            missing.push_back(
                places_[index].vm_ + ": the upstream exited unexpectedly");
        }
    }
    if (!platform_->running() || !link_->running())
    {
        missing.emplace_back("a stand-in exited unexpectedly");
    }
    return missing;
}

std::size_t cluster::size() const
{
    return places_.size();
}

const node_place& cluster::place(std::size_t index) const
{
    return places_.at(index);
}

const cluster_options& cluster::options() const
{
    return options_;
}

std::set<std::string> cluster::services() const
{
    std::set<std::string> names;
    for (const auto& place : places_)
    {
        names.insert(place.service_);
    }
    return names;
}

const std::string& cluster::folder() const
{
    return folder_;
}

void cluster::keep_files()
{
    keep_files_ = true;
}

void cluster::start_node(std::size_t index)
{
    const auto& vm = places_.at(index).vm_;
    slots_.at(index).node_.emplace(
        std::vector<std::string>{
            binary("hemlockshelfd"), "--settings", file(vm + ".yaml")},
        file(vm + ".log"));
    slots_.at(index).node_expected_ = true;
}

void cluster::start_upstream(std::size_t index)
{
    const auto& place = places_.at(index);
    const auto& mesh = options_.deployment_;
    slots_.at(index).upstream_.emplace(
        std::vector<std::string>{
            binary("upstream_standin"), "--listen", to_string(place.upstream_),
            "--node", to_string(place.admin_), "--service", place.service_,
            "--client_account", mesh.account_,
            fmt::format("--slots={}", mesh.slots_),
            fmt::format("--connections={}", mesh.connections_),
            "--execution_log", file(place.vm_ + ".executions")},
        file(place.vm_ + ".upstream.log"));
    slots_.at(index).upstream_expected_ = true;
}

void cluster::kill_node(std::size_t index)
{
    slots_.at(index).node_expected_ = false;
    slots_.at(index).node_->kill();
}

void cluster::kill_upstream(std::size_t index)
{
    slots_.at(index).upstream_expected_ = false;
    slots_.at(index).upstream_->kill();
}

void cluster::signal_node(std::size_t index, int number)
{
    slots_.at(index).node_->signal(number);
}

void cluster::signal_upstream(std::size_t index, int number)
{
    slots_.at(index).upstream_->signal(number);
}

std::optional<int>
cluster::terminate_node(std::size_t index, std::chrono::milliseconds timeout)
{
    slots_.at(index).node_expected_ = false;
    return slots_.at(index).node_->terminate(timeout);
}

bool cluster::node_is_up(std::size_t index) const
{
    return slots_.at(index).node_expected_;
}

pid_t cluster::node_pid(std::size_t index) const
{
    return slots_.at(index).node_->pid();
}

std::string cluster::binary(const char* name) const
{
    return options_.bin_folder_ + "/" + name;
}

std::string cluster::file(const std::string& name) const
{
    return folder_ + "/" + name;
}

std::vector<std::string> cluster::wait_for_nodes() const
{
    auto problems = wait_for_revision(revision{0}, start_timeout);
    const bool links_answer = wait_until(
        start_timeout,
        [this]
        {
            return link_counters().is_object();
        });
    if (!links_answer)
    {
        problems.emplace_back("link_standin does not answer");
    }
    return problems;
}

} // namespace hemlockshelf
