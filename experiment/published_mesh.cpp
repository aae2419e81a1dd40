#include "experiment/published_mesh.hpp"

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <stdexcept>

#include <fmt/format.h>

#include "experiment/node_log.hpp"
#include "experiment/processor_limit.hpp"
#include "experiment/settings_files.hpp"
#include "experiment/wait.hpp"

namespace hemlockshelf {

namespace {

constexpr std::uint16_t readiness_port = 7006;
constexpr std::uint16_t instances_port = 7007;
// Each node keeps one long-polling call for changes open; other calls read and
// write the directory.
constexpr std::size_t store_threads_per_node = 2;
constexpr std::chrono::milliseconds status_timeout{500};

// Time of a call between the two regions of the users.
constexpr std::chrono::milliseconds region_round_trip{40};

deployment make_deployment()
{
    deployment mesh;
    mesh.domains_ = {
        {"domain-a", "region-1"},
        {"domain-b", "region-1"},
        {"domain-c", published_mesh::distant_region},
        {"domain-d", published_mesh::distant_region}};
    mesh.services_ = {"service-0", "service-1", "service-2", "service-3"};
    return mesh;
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
    {
        throw std::runtime_error(path + ": cannot be read");
    }
    return text.str();
}

/// Throws if the pattern does not match, so that a change of the template is
/// detected.
std::string replace(
    const std::string& text,
    const std::string& pattern,
    const std::string& replacement)
{
    const std::regex expression(pattern);
    if (!std::regex_search(text, expression))
    {
        throw std::runtime_error(
            "settings template: expected text that matches " + pattern);
    }
    return std::regex_replace(text, expression, replacement);
}

} // namespace

published_mesh::published_mesh(const published_mesh_options& options)
    : daemon_(options.bin_folder_ + "/hemlockshelfd"),
      places_(make_places(make_deployment(), block_, options.nodes_)),
      folder_(make_temporary_folder()),
      server_(
          context_,
          platform_endpoint(block_),
          store_threads_per_node * options.nodes_,
          [this](const http_request& request, const std::string& client)
          {
              return store_.handle(request, client);
          }),
      slots_(options.nodes_)
{
    for (std::size_t index = 0; index < places_.size(); ++index)
    {
        write_file(settings_path(index), settings_text(options, index));
    }
    delay_distant_region();
    thread_ = std::thread(
        [this]
        {
            context_.run();
        });
}

void published_mesh::delay_distant_region()
{
    std::set<std::string> clients;
    for (const auto& place : places_)
    {
        if (place.region_ == distant_region)
        {
            clients.insert(place.source_address_);
        }
    }
    store_.delay(std::move(clients), region_round_trip);
}

published_mesh::~published_mesh()
{
    slots_.clear();
    context_.stop();
    thread_.join();
    if (!keep_files_)
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

const std::vector<node_place>& published_mesh::places() const
{
    return places_;
}

store_service& published_mesh::store()
{
    return store_;
}

void published_mesh::start_node(std::size_t index)
{
    auto& slot = slots_.at(index);
    node_run run;
    run.vm_ = vm_id{places_.at(index).vm_};
    run.process_ = slot.runs_.size() + 1;
    run.started_at_ = event_now();
    slot.runs_.push_back(run);
    slot.process_.emplace(
        std::vector<std::string>{daemon_, "--settings", settings_path(index)},
        log_path(run));
    if (node_processors_)
    {
        limit_processors(slot.process_->pid(), *node_processors_);
    }
}

void published_mesh::limit_node_processors(std::size_t count)
{
    node_processors_ = count;
    for (const auto& slot : slots_)
    {
        if (slot.process_)
        {
            limit_processors(slot.process_->pid(), count);
        }
    }
}

void published_mesh::kill_node(std::size_t index)
{
    auto& slot = slots_.at(index);
    slot.process_->kill();
    slot.runs_.back().ended_at_ = event_now();
}

bool published_mesh::node_is_up(std::size_t index) const
{
    const auto& runs = slots_.at(index).runs_;
    return !runs.empty() && !runs.back().ended_at_;
}

std::uint64_t published_mesh::process(std::size_t index) const
{
    return slots_.at(index).runs_.size();
}

nlohmann::json published_mesh::status(std::size_t index) const
{
    json_call call;
    call.server_ = places_.at(index).admin_;
    call.path_ = "/v1/status";
    call.timeout_ = status_timeout;
    auto answer = send(call);
    return answer.status_ == 200 ? std::move(answer.body_) : nlohmann::json();
}

violations published_mesh::missing_processes()
{
    violations missing;
    for (std::size_t index = 0; index < slots_.size(); ++index)
    {
        if (node_is_up(index) && !slots_[index].process_->running())
        {
            missing.push_back(fmt::format(
                "{}: the node exited unexpectedly", places_[index].vm_));
        }
    }
    return missing;
}

void published_mesh::read_logs(storm_history& history) const
{
    for (const auto& slot : slots_)
    {
        for (auto run : slot.runs_)
        {
            std::ifstream log(log_path(run));
            read_node_log(log, run, history);
            history.runs_.push_back(run);
        }
    }
}

void published_mesh::keep_files()
{
    keep_files_ = true;
}

const std::string& published_mesh::folder() const
{
    return folder_;
}

std::string published_mesh::settings_text(
    const published_mesh_options& options, std::size_t index) const
{
    const auto& place = places_.at(index);
    const auto& address = place.source_address_;
    auto text = read_file(options.settings_template_);
    const std::vector<std::pair<std::string, std::string>> values{
        // Optional sections, which may have several lines.
        {R"(\{\{#([^}]*)\}\}[\s\S]*?\{\{/\1\}\}\n)", ""},
        {R"(\{\{node\}\})", place.vm_},
        {R"(\{\{zone\}\})", place.domain_},
        {R"(\{\{region\}\})", place.region_},
        {R"(\{\{service\}\})", place.service_},
        {R"(\{\{listen.outbound\}\})", to_string(place.calls_)},
        {R"(\{\{listen.inbound\}\})", to_string(place.gate_)},
        {R"(\{\{listen.readiness\}\})",
         to_string(endpoint{address, readiness_port})},
        {R"(\{\{listen.control\}\})",
         to_string(endpoint{address, instances_port})},
        {R"(\{\{ip\}\}:\{\{port_range.0\}\})", to_string(place.control_)},
        {R"(\{\{ip\}\}:\{\{port_range.1\}\})", to_string(place.admin_)},
        {R"(\{\{ip\}\})", address},
        {R"(\{\{provider.address\}\})", to_string(platform_endpoint(block_))},
        {R"(level: info)", "level: info\n  format: json"},
        {R"(publication_readers: \d+)",
         fmt::format("publication_readers: {}", options.publication_readers_)}};
    for (const auto& [pattern, value] : values)
    {
        text = replace(text, pattern, value);
    }
    return text;
}

std::string published_mesh::log_path(const node_run& run) const
{
    return fmt::format("{}/{}.{}.log", folder_, run.vm_.value(), run.process_);
}

std::string published_mesh::settings_path(std::size_t index) const
{
    return fmt::format("{}/{}.yaml", folder_, places_.at(index).vm_);
}

} // namespace hemlockshelf
