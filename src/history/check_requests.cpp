#include <map>

#include <fmt/format.h>

#include "hemlockshelf/history/checkers.hpp"

namespace hemlockshelf {

namespace {

std::map<request_id, std::vector<std::string>>
executions_by_request(const run_history& history)
{
    std::map<request_id, std::vector<std::string>> upstreams;
    for (const auto& execution : history.executions_)
    {
        upstreams[execution.id_].push_back(execution.upstream_);
    }
    return upstreams;
}

} // namespace

violations check_at_most_once(const run_history& history)
{
    violations found;
    auto executions = executions_by_request(history);
    for (const auto& request : history.requests_)
    {
        const auto ran = executions.find(request.id_);
        if (ran == executions.end())
        {
            continue;
        }
        if (!request.idempotent_ && ran->second.size() > 1)
        {
            found.push_back(fmt::format(
                "request {} was executed {} times, at {} and {}",
                request.id_.value(), ran->second.size(), ran->second[0],
                ran->second[1]));
        }
        executions.erase(ran);
    }
    for (const auto& [id, upstreams] : executions)
    {
        found.push_back(fmt::format(
            "request {} was executed at {}, but never sent", id.value(),
            upstreams.front()));
    }
    return found;
}

violations check_not_run(const run_history& history)
{
    violations found;
    const auto executions = executions_by_request(history);
    for (const auto& request : history.requests_)
    {
        const auto ran = executions.find(request.id_);
        if (request.result_ == request_result::not_run &&
            ran != executions.end())
        {
            found.push_back(fmt::format(
                "request {} failed with {}, which excludes execution, but was "
                "executed at {}",
                request.id_.value(), request.error_, ran->second.front()));
        }
    }
    return found;
}

violations check_answers(const run_history& history)
{
    violations found;
    for (const auto& request : history.requests_)
    {
        if (request.result_ != request_result::served)
        {
            continue;
        }
        if (request.answered_id_ != request.id_)
        {
            found.push_back(fmt::format(
                "request {} got the answer to request \"{}\"",
                request.id_.value(), request.answered_id_.value()));
        }
        else if (request.answered_body_bytes_ != request.sent_body_bytes_)
        {
            found.push_back(fmt::format(
                "request {}: {} bytes were sent, but {} received",
                request.id_.value(), request.sent_body_bytes_,
                request.answered_body_bytes_));
        }
    }
    return found;
}

} // namespace hemlockshelf
