#include "experiment/deployment.hpp"

#include <fstream>
#include <stdexcept>

#include <yaml-cpp/yaml.h>

namespace hemlockshelf {

deployment load_deployment(const std::string& folder)
{
    const auto root = YAML::LoadFile(folder + "/deployment.yaml");
    deployment read;
    read.account_ = root["account"].as<std::string>();
    read.token_ = root["token"].as<std::string>();
    read.platform_region_ = root["platform_region"].as<std::string>();
    for (const auto& domain : root["failure_domains"])
    {
        read.domains_.push_back(
            {domain["name"].as<std::string>(),
             domain["region"].as<std::string>()});
    }
    read.services_ = root["services"].as<std::vector<std::string>>();
    read.slots_ = root["slots"].as<std::uint32_t>();
    read.connections_ = root["connections"].as<std::uint32_t>();
    std::ifstream tables(folder + "/tables.json");
    read.tables_ = nlohmann::json::parse(tables);
    return read;
}

} // namespace hemlockshelf
