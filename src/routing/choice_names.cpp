#include "hemlockshelf/routing/upstream_choice.hpp"

namespace hemlockshelf {

std::string_view to_string(candidate_status value)
{
    switch (value)
    {
    case candidate_status::usable:
        return "usable";
    case candidate_status::suspect:
        return "suspect";
    case candidate_status::ejected:
        return "ejected";
    case candidate_status::probe_in_progress:
        return "probe_in_progress";
    case candidate_status::unreachable:
        return "unreachable";
    case candidate_status::already_tried:
        return "already_tried";
    case candidate_status::not_serving:
        return "not_serving";
    case candidate_status::draining:
        return "draining";
    case candidate_status::down:
        return "down";
    }
    return "unknown";
}

std::string_view to_string(choice_reason value)
{
    switch (value)
    {
    case choice_reason::nearest_tier:
        return "nearest_tier";
    case choice_reason::spilled:
        return "spilled";
    case choice_reason::last_resort:
        return "last_resort";
    case choice_reason::no_candidate:
        return "no_candidate";
    case choice_reason::region_budget_empty:
        return "region_budget_empty";
    case choice_reason::pool_limit:
        return "pool_limit";
    }
    return "unknown";
}

} // namespace hemlockshelf
