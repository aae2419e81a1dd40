#ifndef HEMLOCKSHELF_STANDINS_LINK_LINK_FAULTS_HPP
#define HEMLOCKSHELF_STANDINS_LINK_LINK_FAULTS_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockshelf {

/// What a link does with traffic in one direction.
enum class link_mode
{
    /// Forwards.
    ok,
    /// Resets connections.
    cut,
    /// Keeps connections open and drops what they carry.
    silent,
};

/// Returns the mode called `name`, or nothing if there is none.
std::optional<link_mode> find_link_mode(std::string_view name);

/// A failure domain and its region.
struct link_place
{
    std::string domain_;
    std::string region_;
};

/// Sets the mode of traffic from one place to another. A side names a failure
/// domain or a region; "*" is every place.
struct link_rule
{
    link_mode mode_ = link_mode::ok;
    std::string from_ = "*";
    std::string to_ = "*";
    /// Whether the rule also holds in the other direction.
    bool both_ = true;
};

/// Tells whether a rule is about traffic from `from` to `to`.
bool applies(
    const link_rule& rule, const link_place& from, const link_place& to);

/// Returns the mode of traffic from `from` to `to`: that of the last rule that
/// applies.
link_mode mode_of(
    const std::vector<link_rule>& rules,
    const link_place& from,
    const link_place& to);

} // namespace hemlockshelf

#endif
