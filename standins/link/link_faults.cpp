#include "standins/link/link_faults.hpp"

namespace hemlockshelf {

namespace {

bool names(const std::string& side, const link_place& place)
{
    return side == "*" || side == place.domain_ || side == place.region_;
}

} // namespace

std::optional<link_mode> find_link_mode(std::string_view name)
{
    if (name == "ok")
    {
        return link_mode::ok;
    }
    if (name == "cut")
    {
        return link_mode::cut;
    }
    if (name == "silent")
    {
        return link_mode::silent;
    }
    return std::nullopt;
}

bool applies(
    const link_rule& rule, const link_place& from, const link_place& to)
{
    // Traffic within a failure domain does not cross a link.
    if (from.domain_ == to.domain_)
    {
        return false;
    }
    return (names(rule.from_, from) && names(rule.to_, to)) ||
           (rule.both_ && names(rule.from_, to) && names(rule.to_, from));
}

link_mode mode_of(
    const std::vector<link_rule>& rules,
    const link_place& from,
    const link_place& to)
{
    for (auto rule = rules.rbegin(); rule != rules.rend(); ++rule)
    {
        if (applies(*rule, from, to))
        {
            return rule->mode_;
        }
    }
    return link_mode::ok;
}

} // namespace hemlockshelf
