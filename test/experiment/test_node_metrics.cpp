#include "experiment/node_metrics.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

// Guards against including values of another metric whose name has the same
// prefix.
Test(node_metrics, only_the_named_metric_is_read)
{
    const auto values = read_metric(
        "# HELP applies_total Revisions.\n"
        "# TYPE applies_total counter\n"
        "applies_total{source=\"push\"} 12\n"
        "applies_total{source=\"poll\"} 3\n"
        "applies_total_of_another{source=\"push\"} 99\n",
        "applies_total");
    const metric_values expected{{"push", 12}, {"poll", 3}};
    cr_assert(values == expected);
}

// Guards against a histogram whose sum is not found because it has no label.
Test(node_metrics, a_metric_without_label_is_read)
{
    const auto values = read_metric(
        "duration_bucket{le=\"1\"} 4\nduration_sum 0.25\nduration_count 4\n",
        "duration_sum");
    const metric_values expected{{"", 0.25}};
    cr_assert(values == expected);
}

// Guards against a negative increase after a node was restarted.
Test(node_metrics, a_restarted_process_counts_from_zero)
{
    const metric_values before{{"push", 10}, {"poll", 4}};
    const metric_values after{{"push", 3}, {"poll", 6}, {"repair", 1}};
    const metric_values expected{{"push", 3}, {"poll", 2}, {"repair", 1}};
    cr_assert(increase(before, after) == expected);
}
