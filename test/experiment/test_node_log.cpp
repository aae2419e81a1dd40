#include "experiment/node_log.hpp"

#include <sstream>

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

// Guards against reading times in the local time zone and against lost
// milliseconds.
Test(node_log, reads_times_of_utc)
{
    cr_assert(read_log_time("1970-01-02T00:00:01.020Z") == 86401s + 20ms);
    cr_assert(!read_log_time("1970-01-02T00:00:01Z"));
    cr_assert(!read_log_time(""));
}

// Guards against counting reads of a joined reader as joining reads, and
// against an incomplete line of a killed process that stops the parser.
Test(node_log, reads_revisions_and_documents)
{
    std::istringstream log(
        R"({"event":"configuration_read","revision":3,"changes":1}
{"event":"revision_applied","revision":3,"time":"1970-01-01T00:00:01.000Z"}
{"event":"node_serving","revision":3,"members":16}
{"event":"configuration_read","revision":7,"changes":2}
{"event":"revision_applied","revision":7,"time":"1970-01-01T00:00:02.000Z"}
{"event":"revision_app)");
    storm_history history;
    node_run run;
    run.vm_ = vm_id{"a"};
    run.process_ = 2;
    read_node_log(log, run, history);
    cr_assert_eq(run.joining_reads_, 1);
    cr_assert_eq(run.joined_reads_, 2);
    cr_assert_eq(history.revisions_.size(), 2);
    const auto& last = history.revisions_.back();
    cr_assert(last.vm_ == run.vm_ && last.process_ == 2);
    cr_assert(last.revision_ == revision{7} && last.at_ == 2s);
}
