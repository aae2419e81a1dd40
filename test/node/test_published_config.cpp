#include "node/published_config.hpp"

#include "adapters/telemetry/prometheus_metrics.hpp"
#include "hemlockshelf/core/manual_clock.hpp"
#include "test/node/one_pool.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

/// Source whose only document is invalid.
class rejecting_source final : public configuration_source
{
public:
    result<published_read_result> wait_for_newer(
        const config_snapshot& /*current*/,
        std::chrono::milliseconds /*wait*/) override
    {
        published_read_result read;
        read.documents_ = 1;
        read.rejected_.push_back(
            {error_kind::invalid_row, "route \"r-1\": refused by the test"});
        return read;
    }

    void cancel() override {}
};

} // namespace

// Guards against a version that a node cannot use and that no metric shows.
Test(published_config, a_rejected_document_is_counted)
{
    const manual_clock time;
    prometheus_metrics metrics;
    snapshot_store snapshots;
    config_manager config(snapshots, time, metrics, 16);
    rejecting_source source;
    cr_assert(follow_published(source, config, 0ms, time).answered_);
    const auto text = metrics.to_text();
    cr_assert(
        text.find("hemlockshelf_config_rejections_total{kind=\"invalid_row\"} "
                  "1") != std::string::npos,
        "%s", text.c_str());
}

namespace {

/// Source that returns one configuration, read at a given time.
class dated_source final : public configuration_source
{
public:
    explicit dated_source(wall_time read_at) : read_at_(read_at) {}

    result<published_read_result> wait_for_newer(
        const config_snapshot& /*current*/,
        std::chrono::milliseconds /*wait*/) override
    {
        published_read_result read;
        read.newest_ = snapshot_of(9);
        read.documents_ = 1;
        read.read_at_ = read_at_;
        return read;
    }

    void cancel() override {}

private:
    wall_time read_at_;
};

} // namespace

// Guards against a published version whose age no metric shows, on the node
// that reads it and on the nodes that it reaches as a delta.
Test(published_config, the_age_of_a_version_is_measured_on_every_way)
{
    manual_clock time;
    prometheus_metrics metrics;
    snapshot_store reader_snapshots;
    snapshot_store receiver_snapshots;
    config_manager reader(reader_snapshots, time, metrics, 16);
    config_manager receiver(receiver_snapshots, time, metrics, 16);
    dated_source source(time.wall_now());
    time.advance(250ms);
    const auto report = follow_published(source, reader, 0ms, time);
    cr_assert(report.deltas_.size() == 1);
    time.advance(500ms);
    cr_assert(receiver.apply(report.deltas_, apply_source::push));
    const auto text = metrics.to_text();
    const std::string sum = "hemlockshelf_convergence_duration_seconds_sum";
    for (const auto* line :
         {"{source=\"poll\"} 0.25", "{source=\"push\"} 0.75"})
    {
        cr_assert(
            text.find(sum + line) != std::string::npos, "%s", text.c_str());
    }
}
