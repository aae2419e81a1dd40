#include "adapters/telemetry/prometheus_metrics.hpp"

#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace hemlockshelf;

// Guards against labels that are dropped or metrics under a wrong name.
Test(prometheus_metrics, text_names_metric_and_label)
{
    prometheus_metrics metrics;
    metrics.add(metric_id::refusals, "overloaded", 2);
    metrics.set(metric_id::config_revision, "", 7);
    metrics.observe(metric_id::call_duration, "lookup", 0.0003);
    const auto text = metrics.to_text();
    for (const auto* line :
         {"hemlockshelf_refusals_total{kind=\"overloaded\"} 2",
          "hemlockshelf_config_revision 7",
          "hemlockshelf_call_duration_seconds_count{class=\"lookup\"} 1"})
    {
        cr_assert(text.find(line) != std::string::npos, "%s", line);
    }
}

// Guards against counts that are lost when threads create a series at once.
Test(prometheus_metrics, concurrent_additions_are_all_counted)
{
    prometheus_metrics metrics;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int index = 0; index < 4; ++index)
    {
        threads.emplace_back(
            [&metrics]
            {
                for (int count = 0; count < 1000; ++count)
                {
                    metrics.add(metric_id::calls, "ok", 1);
                }
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    cr_assert(
        metrics.to_text().find(
            "hemlockshelf_calls_total{result=\"ok\"} 4000") !=
        std::string::npos);
}
