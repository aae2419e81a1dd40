#ifndef HEMLOCKSHELF_TEST_SYSTEM_SCENARIOS_HPP
#define HEMLOCKSHELF_TEST_SYSTEM_SCENARIOS_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace hemlockshelf {

/// A trial with the real binaries that has to keep every promise.
struct scenario
{
    std::string name_;
    /// Folder of the example whose mesh is used.
    std::string user_;
    std::vector<std::string> disturbances_;
    /// Whether every call has to get a definite answer.
    bool every_outcome_known_ = false;
    /// Whether one service is called at twice its capacity.
    bool overload_ = false;
    /// Operators that edit without `expected_version`.
    std::size_t operators_ = 3;
    /// Operators that race with `expected_version`.
    std::size_t versioned_operators_ = 0;
};

/// Returns every scenario.
const std::vector<scenario>& all_scenarios();

} // namespace hemlockshelf

#endif
