// Measures the state and work of one node at the target size.

#include <exception>
#include <iostream>

#include <gflags/gflags.h>

#include "benchmark/target_size/apply_measurement.hpp"
#include "benchmark/target_size/membership_measurement.hpp"
#include "benchmark/target_size/resource_usage.hpp"

DEFINE_uint64(members, 24'000, "nodes of the fleet");
DEFINE_uint64(services, 2'500, "services of the fleet");
DEFINE_uint64(edits, 300, "edits to apply");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        hemlockshelf::fleet_size size;
        size.members_ = FLAGS_members;
        size.services_ = FLAGS_services;
        hemlockshelf::member_table members;
        hemlockshelf::snapshot_store snapshots;
        nlohmann::json report{
            {"members", FLAGS_members}, {"services", FLAGS_services}};
        report["membership"] = measure_membership(size, members);
        report["config"] = measure_applies(size, FLAGS_edits, snapshots);
        report["resident_bytes"] = hemlockshelf::resident_memory().value();
        std::cout << report.dump(2) << "\n";
    }
    catch (const std::exception& failure)
    {
        std::cerr << failure.what() << "\n";
        return 1;
    }
    return 0;
}
