#include "node/published_config.hpp"

#include "adapters/telemetry/prometheus_metrics.hpp"
#include "hemlockshelf/core/manual_clock.hpp"

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
    cr_assert(follow_published(source, config, 0ms).answered_);
    const auto text = metrics.to_text();
    cr_assert(
        text.find("hemlockshelf_config_rejections_total{kind=\"invalid_row\"} "
                  "1") != std::string::npos,
        "%s", text.c_str());
}
