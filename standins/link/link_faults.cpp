#include "standins/link/link_faults.hpp"

namespace hemlockshelf {

namespace {

bool matches(const std::string& side, const link_location& location)
{
    return side == "*" || side == location.domain_ || side == location.region_;
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

bool rule_applies(
    const link_rule& rule, const link_location& from, const link_location& to)
{
    // Traffic within a failure domain does not cross a link.
    if (from.domain_ == to.domain_)
    {
        return false;
    }
    return (matches(rule.from_, from) && matches(rule.to_, to)) ||
           (rule.bidirectional_ && matches(rule.from_, to) &&
            matches(rule.to_, from));
}

link_mode effective_mode(
    const std::vector<link_rule>& rules,
    const link_location& from,
    const link_location& to)
{
    for (auto rule = rules.rbegin(); rule != rules.rend(); ++rule)
    {
        if (rule_applies(*rule, from, to))
        {
            return rule->mode_;
        }
    }
    return link_mode::ok;
}

} // namespace hemlockshelf
