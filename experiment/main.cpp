// Runs demos, measurements and soak tests on a mesh of the real binaries on
// loopback.

#include <array>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string_view>

#include <gflags/gflags.h>

#include "experiment/demo.hpp"
#include "experiment/measurement_report.hpp"
#include "experiment/soak.hpp"

DEFINE_string(bin, "build/bin", "folder of the binaries");
DEFINE_string(examples, "examples", "folder of the examples");
DEFINE_string(user, "regie", "example whose mesh is used");
DEFINE_uint64(nodes, 16, "nodes of the demo's mesh");
DEFINE_uint32(minutes, 10, "length of a soak");
DEFINE_uint64(seed, 1, "seed of a soak");
DEFINE_string(only, "", "the only measurement to make");
DEFINE_string(commit, "unknown", "commit that is entered in reports");

namespace {

using hemlockshelf::measurements;

struct named_measurement
{
    std::string_view name_;
    measurements (*measure_)(const hemlockshelf::cluster_options&);
};

constexpr std::array all_measurements{
    named_measurement{"convergence", hemlockshelf::measure_convergence},
    named_measurement{"control_bytes", hemlockshelf::measure_control_bytes},
    named_measurement{"profiles", hemlockshelf::measure_profiles},
    named_measurement{"slopes", hemlockshelf::measure_slopes},
    named_measurement{"platform_load", hemlockshelf::measure_platform_load},
    named_measurement{"added_latency", hemlockshelf::measure_added_latency},
    named_measurement{"goodput", hemlockshelf::measure_goodput},
};

hemlockshelf::cluster_options make_options()
{
    hemlockshelf::cluster_options options;
    options.deployment_ =
        hemlockshelf::load_deployment(FLAGS_examples + "/" + FLAGS_user);
    options.bin_folder_ = FLAGS_bin;
    options.nodes_ = FLAGS_nodes;
    return options;
}

int measure(const std::string& folder)
{
    std::filesystem::create_directories(folder);
    bool found = false;
    for (const auto& [name, make] : all_measurements)
    {
        if (!FLAGS_only.empty() && FLAGS_only != name)
        {
            continue;
        }
        found = true;
        std::cout << "measuring " << name << std::endl;
        hemlockshelf::report_conditions conditions{
            FLAGS_user, FLAGS_commit, hemlockshelf::load_average(), 0};
        const auto measured = make(make_options());
        conditions.load_after_ = hemlockshelf::load_average();
        write_report(folder, std::string(name), conditions, measured);
    }
    if (!found)
    {
        std::cerr << "--only: no measurement is called \"" << FLAGS_only
                  << "\"\n";
    }
    return found ? 0 : 2;
}

int run(int argc, char** argv)
{
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "demo")
    {
        return hemlockshelf::run_demo(make_options()) ? 0 : 1;
    }
    if (command == "soak")
    {
        const hemlockshelf::soak_options options{
            FLAGS_bin, FLAGS_examples, std::chrono::minutes{FLAGS_minutes},
            FLAGS_seed};
        return hemlockshelf::run_soak(options) == 0 ? 0 : 1;
    }
    if (command == "measure" && argc == 3)
    {
        return measure(argv[2]);
    }
    std::cerr << gflags::ProgramUsage() << "\n";
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "hemlockshelf_experiment [flags] demo | soak | measure DIR");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "hemlockshelf_experiment: " << failure.what() << "\n";
        return 2;
    }
}
