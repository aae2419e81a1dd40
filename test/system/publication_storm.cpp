// Operators publish whole configurations in quick succession to real node
// processes. Exits with 1 if a promise is broken and with 2 if the arguments
// are wrong.

#include <array>
#include <exception>
#include <iostream>
#include <optional>
#include <random>
#include <string_view>
#include <utility>

#include <gflags/gflags.h>

#include "experiment/publication_storm.hpp"

DEFINE_string(
    disturbance,
    "none",
    "none, silent_readers, restart_node or restart_in_turn");
DEFINE_string(bin, "build/bin", "folder of the binaries");
DEFINE_string(
    settings, "deploy/node.yaml", "settings of a node, with places for names");
DEFINE_uint64(seed, 0, "seed of the run; 0 takes a random one");
DEFINE_uint64(nodes, 16, "nodes of the mesh");
DEFINE_uint64(versions, 20, "versions of the storm");
DEFINE_uint64(
    processors, 0, "processors that the nodes share after the start; 0: all");
DEFINE_double(calls, 0, "calls per second to all nodes together");
DEFINE_uint64(publication_readers, 4, "setting of the nodes");

namespace {

using hemlockshelf::storm_disturbance;

std::optional<storm_disturbance> find_disturbance(std::string_view name)
{
    constexpr std::array<std::pair<std::string_view, storm_disturbance>, 4>
        names{
            {{"none", storm_disturbance::none},
             {"silent_readers", storm_disturbance::silent_readers},
             {"restart_node", storm_disturbance::restart_node},
             {"restart_in_turn", storm_disturbance::restart_in_turn}}};
    for (const auto& [known, disturbance] : names)
    {
        if (known == name)
        {
            return disturbance;
        }
    }
    return std::nullopt;
}

int run()
{
    const auto disturbance = find_disturbance(FLAGS_disturbance);
    if (!disturbance)
    {
        std::cerr << "--disturbance: unknown \"" << FLAGS_disturbance << "\"\n";
        return 2;
    }
    hemlockshelf::storm_options options;
    options.mesh_ = {
        FLAGS_bin, FLAGS_settings, FLAGS_nodes, FLAGS_publication_readers};
    options.disturbance_ = *disturbance;
    options.versions_ = FLAGS_versions;
    options.node_processors_ = FLAGS_processors;
    options.calls_per_second_ = FLAGS_calls;
    options.seed_ = FLAGS_seed != 0 ? FLAGS_seed : std::random_device{}();
    std::cout << "disturbance " << FLAGS_disturbance << ", seed "
              << options.seed_ << std::endl;
    const auto report = run_storm(options);
    std::cout << to_text(report);
    return report.problems_.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        return run();
    }
    catch (const std::exception& failure)
    {
        std::cerr << "system test: " << failure.what() << "\n";
        return 2;
    }
}
