#include <thread>

#include <fmt/format.h>

#include "experiment/control_traffic.hpp"
#include "experiment/measured_mesh.hpp"
#include "experiment/measurement.hpp"
#include "experiment/node_metrics.hpp"
#include "experiment/operators.hpp"
#include "experiment/slope_lines.hpp"

namespace hemlockshelf {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t nodes = 16;
/// Settings with a row quota above the row count of the largest step.
constexpr auto row_quota_settings = "editing:\n  max_rows: 20000\n";
/// Keeps an edit that loads rows well below the request body size limit.
constexpr std::size_t rows_per_edit = 450;
constexpr std::size_t edits_per_step = 10;
constexpr milliseconds edit_gap{200};
/// Number of nodes that accept the edits, one in each failure domain.
constexpr std::size_t edit_nodes = 4;
constexpr std::chrono::seconds rate_window{6};
constexpr std::chrono::seconds idle_window{4};
constexpr std::chrono::seconds settle_time{5};
/// Time after the last edit in which repairs still count as its traffic.
constexpr std::chrono::seconds repair_time{1};
constexpr std::chrono::seconds convergence_timeout{20};

/// Traffic and apply times of a series of edits.
struct edit_cost
{
    std::size_t accepted_ = 0;
    double seconds_ = 0;
    bytes_by_scope bytes_;
    /// Mean apply time of each node, in milliseconds.
    std::vector<double> apply_times_;
};

/// Makes an edit of a route. Each node rebuilds the account's route index for
/// it.
nlohmann::json
route_edit(const deployment& mesh, std::size_t row, std::size_t timeout_ms)
{
    return {
        {"table", "routes"},
        {"key", fmt::format("{}/slope-{}", mesh.account_, row)},
        {"row",
         {{"host", fmt::format("slope-{}.{}", row, mesh.account_)},
          {"pool", fmt::format("{}/{}", mesh.account_, mesh.services_.front())},
          {"timeout_ms", timeout_ms}}}};
}

/// Adds routes up to `count`. Returns false if an edit was not accepted or did
/// not reach every node.
bool load_rows(const cluster& mesh, std::size_t from, std::size_t count)
{
    revision last;
    while (from < count)
    {
        auto edits = nlohmann::json::array();
        const auto end = std::min(count, from + rows_per_edit);
        const auto name = fmt::format("load-{}", from);
        for (; from < end; ++from)
        {
            edits.push_back(route_edit(mesh.options().deployment_, from, 1000));
        }
        const auto record = submit_edit(mesh, 0, name, edits);
        if (record.result_ != edit_result::accepted)
        {
            return false;
        }
        last = record.revision_;
    }
    return mesh.wait_for_revision(last, convergence_timeout).empty();
}

/// Submits an unmeasured edit through each node that accepts edits. A node
/// reads the change rows since its last edit (up to 256 at its first edit);
/// without this, the measured edits would include the changes that loaded the
/// rows.
void warm_up_edit_nodes(const cluster& mesh, const std::string& name)
{
    for (std::size_t node = 0; node < edit_nodes; ++node)
    {
        const auto edit = route_edit(mesh.options().deployment_, 0, 1500);
        submit_edit(
            mesh, node, fmt::format("warm-{}-{}", name, node),
            nlohmann::json::array({edit}));
    }
    std::this_thread::sleep_for(repair_time);
}

std::vector<double> mean_apply_times(
    const std::vector<metric_values>& sums,
    const std::vector<metric_values>& counts)
{
    std::vector<double> means;
    for (std::size_t index = 0; index < sums.size(); ++index)
    {
        const auto sum = sums[index].find("");
        const auto count = counts.at(index).find("");
        if (sum != sums[index].end() && count != counts[index].end() &&
            count->second > 0)
        {
            means.push_back(1000 * sum->second / count->second);
        }
    }
    return means;
}

/// Total apply time and number of applies of each node.
struct apply_totals
{
    explicit apply_totals(const cluster& mesh)
        : sums_(read_metric(
              mesh, "hemlockshelf_config_apply_duration_seconds_sum")),
          counts_(read_metric(
              mesh, "hemlockshelf_config_apply_duration_seconds_count"))
    {}

    [[nodiscard]] std::vector<double>
    mean_since(const apply_totals& before) const
    {
        std::vector<metric_values> sums;
        std::vector<metric_values> counts;
        for (std::size_t index = 0; index < sums_.size(); ++index)
        {
            sums.push_back(increase(before.sums_.at(index), sums_[index]));
            counts.push_back(
                increase(before.counts_.at(index), counts_.at(index)));
        }
        return mean_apply_times(sums, counts);
    }

    std::vector<metric_values> sums_;
    std::vector<metric_values> counts_;
};

edit_cost measure_edits(
    const cluster& mesh,
    const std::string& name,
    std::size_t count,
    milliseconds gap,
    const bytes_by_scope& idle)
{
    edit_cost cost;
    revision last;
    const apply_totals before(mesh);
    const traffic_window counted(mesh);
    auto next = std::chrono::steady_clock::now();
    for (std::size_t round = 0; round < count; ++round)
    {
        std::this_thread::sleep_until(next);
        next += gap;
        const auto edit =
            route_edit(mesh.options().deployment_, 0, 2000 + round);
        const auto record = submit_edit(
            mesh, round % edit_nodes, fmt::format("{}-{}", name, round),
            nlohmann::json::array({edit}));
        if (record.result_ == edit_result::accepted)
        {
            ++cost.accepted_;
            last = record.revision_;
        }
    }
    mesh.wait_for_revision(last, convergence_timeout);
    std::this_thread::sleep_for(repair_time);
    cost.seconds_ = counted.seconds();
    cost.bytes_ = counted.bytes_above(idle);
    cost.apply_times_ = apply_totals(mesh).mean_since(before);
    return cost;
}

void add_bytes(
    slope_lines& lines,
    measurements& found,
    const std::string& what,
    const std::string& step,
    const std::string& unit,
    double size,
    const bytes_by_scope& bytes,
    double divisor)
{
    for (const auto& [scope, amount] : bytes)
    {
        const auto name = fmt::format("{}, {}", what, scope);
        const auto value = amount / divisor;
        found.push_back(
            {fmt::format("{}, {}", name, step), unit, summarize({value}),
             fmt::format("{} nodes, TCP payload", nodes)});
        lines.add(name, unit, {size, value});
    }
}

void add_apply_times(
    slope_lines& lines,
    measurements& found,
    const std::string& step,
    double size,
    const std::vector<double>& apply_times)
{
    const auto values = summarize(apply_times);
    found.push_back(
        {"one apply, " + step, "ms", values,
         fmt::format("mean of each of {} nodes", values.count_)});
    lines.add("one apply", "ms", {size, values.median_});
}

/// Measures at edit rates up to the maximum of one operator that submits edits
/// sequentially.
void measure_rates(const cluster& mesh, measurements& found)
{
    slope_lines lines;
    warm_up_edit_nodes(mesh, "rates");
    for (const std::size_t rate : {1, 2, 5})
    {
        const auto count = rate * rate_window.count();
        const auto cost = measure_edits(
            mesh, fmt::format("rate-{}", rate), count,
            std::chrono::duration_cast<milliseconds>(rate_window) / count, {});
        const auto reached =
            static_cast<double>(cost.accepted_) / cost.seconds_;
        const auto step = fmt::format("{:.2f} edits/s", reached);
        add_bytes(
            lines, found, "control bytes", step, "bytes/s per node", reached,
            cost.bytes_, cost.seconds_ * static_cast<double>(mesh.size()));
        add_apply_times(lines, found, step, reached, cost.apply_times_);
    }
    lines.report("edit/s", 1, found);
}

void measure_rows(const cluster& mesh, measurements& found)
{
    slope_lines lines;
    std::size_t loaded = 0;
    for (const std::size_t rows : {100, 1000, 10'000})
    {
        const auto step = fmt::format("{} rows", rows);
        if (!load_rows(mesh, loaded, rows))
        {
            found.push_back(
                {step, "", {}, "not measured: the rows were not accepted"});
            return;
        }
        loaded = rows;
        warm_up_edit_nodes(mesh, step);
        const traffic_window quiet(mesh);
        std::this_thread::sleep_for(idle_window);
        const auto idle = quiet.rates();
        const auto size = static_cast<double>(rows);
        add_bytes(
            lines, found, "idle bytes", step, "bytes/s per node", size, idle,
            static_cast<double>(mesh.size()));
        const auto cost =
            measure_edits(mesh, step, edits_per_step, edit_gap, idle);
        add_bytes(
            lines, found, "bytes per edit, idle traffic subtracted", step,
            "bytes", size, cost.bytes_,
            static_cast<double>(std::max<std::size_t>(1, cost.accepted_)));
        add_apply_times(lines, found, step, size, cost.apply_times_);
    }
    lines.report("1000 rows", 1000, found);
}

} // namespace

measurements measure_slopes(const cluster_options& base)
{
    measurements found;
    auto options = base;
    options.nodes_ = nodes;
    options.extra_settings_ += row_quota_settings;
    cluster mesh(options);
    if (!start_with_tables(mesh, "slopes", found))
    {
        return found;
    }
    std::this_thread::sleep_for(settle_time);
    measure_rates(mesh, found);
    measure_rows(mesh, found);
    return found;
}

} // namespace hemlockshelf
