#include "hemlockshelf/membership/member_record.hpp"

#include <tuple>

namespace hemlockshelf {

bool supersedes(const member_update& left, const member_update& right)
{
    return std::tie(
               left.record_.incarnation_, left.record_.sequence_, left.down_) >
           std::tie(
               right.record_.incarnation_, right.record_.sequence_,
               right.down_);
}

bool can_serve(upstream_state state)
{
    return state == upstream_state::warming || state == upstream_state::ready ||
           state == upstream_state::draining;
}

std::string_view to_string(upstream_state state)
{
    switch (state)
    {
    case upstream_state::absent:
        return "absent";
    case upstream_state::warming:
        return "warming";
    case upstream_state::ready:
        return "ready";
    case upstream_state::draining:
        return "draining";
    case upstream_state::left:
        return "left";
    case upstream_state::down:
        return "down";
    }
    return "unknown";
}

std::string_view to_string(liveness value)
{
    switch (value)
    {
    case liveness::alive:
        return "alive";
    case liveness::suspect:
        return "suspect";
    case liveness::unreachable:
        return "unreachable";
    case liveness::down:
        return "down";
    }
    return "unknown";
}

} // namespace hemlockshelf
