#ifndef HEMLOCKSHELF_EXPERIMENT_DISTURBANCE_HPP
#define HEMLOCKSHELF_EXPERIMENT_DISTURBANCE_HPP

#include <span>
#include <string_view>

#include "experiment/trial_context.hpp"

namespace hemlockshelf {

/// A temporary fault, or a planned change under load.
struct disturbance
{
    std::string_view name_;
    void (*begin_)(trial_context& context);
    void (*end_)(trial_context& context);
    /// Whether its checks need a mesh without other disturbances; the soak
    /// excludes it then.
    bool needs_isolation_ = false;
};

/// Returns every disturbance.
std::span<const disturbance> all_disturbances();

/// Finds a disturbance by its name. Throws `std::invalid_argument`.
const disturbance& find_disturbance(std::string_view name);

} // namespace hemlockshelf

#endif
