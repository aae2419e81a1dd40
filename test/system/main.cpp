// Runs one scenario with the real binaries. Exits with 1 if a promise is broken
// and with 2 if the arguments are wrong.

#include <algorithm>
#include <exception>
#include <iostream>
#include <random>

#include <gflags/gflags.h>

#include "experiment/trial.hpp"
#include "test/system/scenarios.hpp"

DEFINE_string(scenario, "", "name of the scenario");
DEFINE_string(bin, "build/bin", "folder of the binaries");
DEFINE_string(examples, "examples", "folder of the examples");
DEFINE_uint64(seed, 0, "seed of the run; 0 takes a random one");
DEFINE_uint64(nodes, 16, "nodes of the mesh");

namespace {

/// Calls one service at twice what its upstreams' slots can serve. Half of the
/// capacity has to be served, also while a quarter of the nodes is away.
void overload(hemlockshelf::trial_options& options)
{
    const auto& mesh = options.cluster_.deployment_;
    const auto slots = mesh.domains_.size() * mesh.slots_;
    options.work_ = std::chrono::milliseconds{100};
    options.services_ = {mesh.services_.front()};
    const std::chrono::duration<double> work = options.work_;
    options.rate_ = 2 * static_cast<double>(slots) / work.count();
    options.min_served_share_ = 0.25;
}

hemlockshelf::trial_options
options_for(const hemlockshelf::scenario& chosen, std::uint64_t seed)
{
    hemlockshelf::trial_options options;
    options.cluster_.deployment_ =
        hemlockshelf::load_deployment(FLAGS_examples + "/" + chosen.user_);
    options.cluster_.bin_folder_ = FLAGS_bin;
    options.cluster_.nodes_ = FLAGS_nodes;
    options.operators_ = chosen.operators_;
    options.versioned_operators_ = chosen.versioned_operators_;
    options.seed_ = seed;
    options.disturbances_ = chosen.disturbances_;
    options.every_outcome_known_ = chosen.every_outcome_known_;
    if (chosen.overload_)
    {
        overload(options);
    }
    return options;
}

int run()
{
    const auto& scenarios = hemlockshelf::all_scenarios();
    const auto chosen = std::ranges::find(
        scenarios, FLAGS_scenario, &hemlockshelf::scenario::name_);
    if (chosen == scenarios.end())
    {
        std::cerr << "--scenario: unknown \"" << FLAGS_scenario << "\"\n";
        return 2;
    }
    const std::uint64_t seed =
        FLAGS_seed != 0 ? FLAGS_seed : std::random_device{}();
    std::cout << "scenario " << chosen->name_ << ", seed " << seed << std::endl;
    const auto result = run_trial(options_for(*chosen, seed));
    std::cout << to_text(result);
    return result.problems_.empty() ? 0 : 1;
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
