#include "hemlockshelf/history/checkers.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

run_history one_request(request_result result, bool idempotent)
{
    request_record request;
    request.id_ = request_id{"r1"};
    request.idempotent_ = idempotent;
    request.result_ = result;
    request.sent_body_bytes_ = 10;
    request.answered_id_ = request.id_;
    request.answered_body_bytes_ = 10;
    run_history history;
    history.requests_ = {request};
    history.executions_ = {{request.id_, "upstream-1", event_time{1}}};
    return history;
}

} // namespace

// Guards against false positives on a correct history.
Test(check_requests, a_served_request_passes)
{
    const auto history = one_request(request_result::served, false);
    cr_assert(check_all(history).empty());
}

// Guards against missing a non-idempotent request that was executed twice.
Test(check_requests, a_second_run_of_a_non_idempotent_request_is_found)
{
    auto history = one_request(request_result::unknown, false);
    history.executions_.push_back(
        {request_id{"r1"}, "upstream-2", event_time{2}});
    cr_assert(!check_at_most_once(history).empty());
}

// Guards against reporting the retry of an idempotent request.
Test(check_requests, a_second_run_of_an_idempotent_request_passes)
{
    auto history = one_request(request_result::served, true);
    history.executions_.push_back(
        {request_id{"r1"}, "upstream-2", event_time{2}});
    cr_assert(check_at_most_once(history).empty());
}

// Guards against missing an execution without a request.
Test(check_requests, an_execution_without_a_request_is_found)
{
    auto history = one_request(request_result::served, false);
    history.executions_.push_back(
        {request_id{"r2"}, "upstream-2", event_time{2}});
    cr_assert(!check_at_most_once(history).empty());
}

// Guards against missing an executed request that was reported as not run.
Test(check_requests, an_untrue_refusal_is_found)
{
    const auto history = one_request(request_result::not_run, true);
    cr_assert(!check_not_run(history).empty());
}

// Guards against missing answers that were swapped between callers.
Test(check_requests, the_answer_of_another_request_is_found)
{
    auto history = one_request(request_result::served, true);
    history.requests_.front().answered_id_ = request_id{"r2"};
    cr_assert(!check_answers(history).empty());
}

// Guards against missing a truncated body.
Test(check_requests, a_truncated_body_is_found)
{
    auto history = one_request(request_result::served, true);
    history.requests_.front().answered_body_bytes_ = 9;
    cr_assert(!check_answers(history).empty());
}
