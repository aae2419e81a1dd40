#ifndef HEMLOCKSHELF_STANDINS_LINK_LINK_FAULTS_HPP
#define HEMLOCKSHELF_STANDINS_LINK_LINK_FAULTS_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockshelf {

/// Treatment of the traffic on a link in one direction.
enum class link_mode
{
    /// Forwards.
    ok,
    /// Resets connections.
    cut,
    /// Keeps connections open and drops their data.
    silent,
};

/// Returns the mode called `name`, or `std::nullopt` if there is none.
std::optional<link_mode> find_link_mode(std::string_view name);

/// A failure domain and its region.
struct link_location
{
    std::string domain_;
    std::string region_;
};

/// Sets the mode of traffic from one location to another. Each of `from_` and
/// `to_` is a failure domain, a region, or "*" for all locations.
struct link_rule
{
    link_mode mode_ = link_mode::ok;
    std::string from_ = "*";
    std::string to_ = "*";
    /// Whether the rule also applies in the opposite direction.
    bool bidirectional_ = true;
};

/// Returns whether a rule applies to traffic from `from` to `to`.
bool rule_applies(
    const link_rule& rule, const link_location& from, const link_location& to);

/// Returns the mode of traffic from `from` to `to`, which the last rule that
/// applies determines.
link_mode effective_mode(
    const std::vector<link_rule>& rules,
    const link_location& from,
    const link_location& to);

} // namespace hemlockshelf

#endif
