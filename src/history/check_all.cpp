#include <array>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/history/checkers.hpp"

namespace hemlockshelf {

namespace {

using checker = violations (*)(const run_history&);

constexpr std::array<std::pair<std::string_view, checker>, 8> checkers{{
    {"edits", check_edits},
    {"expected_versions", check_expected_versions},
    {"references", check_references},
    {"revisions", check_revisions_rise},
    {"at_most_once", check_at_most_once},
    {"not_run", check_not_run},
    {"in_force", check_in_force},
    {"answers", check_answers},
}};

} // namespace

violations check_all(const run_history& history)
{
    violations found;
    for (const auto& [name, check] : checkers)
    {
        for (const auto& violation : check(history))
        {
            found.push_back(fmt::format("{}: {}", name, violation));
        }
    }
    return found;
}

} // namespace hemlockshelf
