#ifndef HEMLOCKSHELF_EXPERIMENT_PUBLICATION_STORM_HPP
#define HEMLOCKSHELF_EXPERIMENT_PUBLICATION_STORM_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "experiment/published_mesh.hpp"
#include "hemlockshelf/history/checkers.hpp"

namespace hemlockshelf {

/// Fault that is injected while versions are published.
enum class storm_disturbance
{
    none,
    /// The store stops responding to half of the readers.
    silent_readers,
    /// A reader is killed and started again.
    restart_node,
    /// Every third node is killed and started again, one after the other.
    restart_in_turn,
};

struct storm_options
{
    published_mesh_options mesh_;
    storm_disturbance disturbance_ = storm_disturbance::none;
    std::uint64_t seed_ = 0;
    std::size_t routes_ = 1100;
    std::size_t versions_ = 20;
    std::chrono::milliseconds interval_{250};
    /// Processors that all nodes share once they have joined; 0 sets no limit.
    std::size_t node_processors_ = 0;
    /// Calls per second to all nodes together while versions are published.
    /// There are no upstreams, so that none is served.
    double calls_per_second_ = 0;
};

/// Results of a publication storm.
struct storm_report
{
    violations problems_;
    /// Nodes that read documents after all had joined.
    std::size_t reading_nodes_ = 0;
    /// Documents and bytes that the store has sent since then.
    std::uint64_t documents_ = 0;
    std::uint64_t bytes_ = 0;
    std::chrono::milliseconds slowest_{0};
    /// Calls sent and those rejected because no route matched.
    std::size_t calls_ = 0;
    std::size_t calls_without_route_ = 0;
    /// Settings and logs; kept if there are problems.
    std::string folder_;
};

/// Starts nodes, publishes versions in quick succession and checks how the
/// nodes apply them.
storm_report run_storm(const storm_options& options);

std::string to_text(const storm_report& report);

} // namespace hemlockshelf

#endif
