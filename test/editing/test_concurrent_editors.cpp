#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

#include <fmt/format.h>

#include "hemlockshelf/config/row_codec.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/real_clock.hpp"
#include "hemlockshelf/editing/config_reader.hpp"
#include "hemlockshelf/editing/editor.hpp"
#include "hemlockshelf/history/checkers.hpp"
#include "standins/platform/memory_tables.hpp"
#include "test/editing/audit_checker.hpp"
#include "test/editing/edit_samples.hpp"
#include "test/editing/faulty_tables.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

constexpr unsigned node_count = 3;
constexpr std::size_t operators_per_node = 2;
constexpr unsigned edits_per_operator = 40;

event_time now_us()
{
    return std::chrono::duration_cast<event_time>(
        std::chrono::steady_clock::now().time_since_epoch());
}

/// The parts of a node that process edits.
struct editing_node
{
    editing_node(table_service& shared, fault_rates rates, unsigned seed)
        : tables_(shared, rates, seed), editor_(
                                            make_ports(),
                                            vm_id{fmt::format("vm-{}", seed)},
                                            fast_retry_settings())
    {}

    static editing_settings fast_retry_settings()
    {
        auto settings = unlimited_settings();
        settings.retry_.max_attempts_ = 200;
        settings.retry_.max_read_backs_ = 4;
        return settings;
    }

    editor_ports make_ports()
    {
        editor_ports ports;
        ports.tables_ = &tables_;
        ports.time_ = &time_;
        ports.current_snapshot_ = [this]
        {
            return snapshots_.current();
        };
        ports.on_accepted_ = [this](const change_record&, const auto& snapshot)
        {
            // Fails if a later edit of this node has already advanced the
            // store.
            static_cast<void>(snapshots_.advance(snapshot));
        };
        ports.sleep_ = [](std::chrono::milliseconds time)
        {
            std::this_thread::sleep_for(
                std::chrono::microseconds{time.count()});
        };
        return ports;
    }

    real_clock time_;
    snapshot_store snapshots_;
    faulty_tables tables_;
    editor editor_;
};

/// Returns a random edit of few rows, so that edits conflict with each other.
std::vector<row_edit> random_edits(std::mt19937& random)
{
    const auto pool = fmt::format("regie/p{}", random() % 3);
    const auto route = fmt::format("regie/r{}", random() % 3);
    switch (random() % 6)
    {
    case 0:
        return {deletion(table_id::pools, pool)};
    case 1:
        return {deletion(table_id::routes, route)};
    case 2:
        return {pool_edit(pool, "new"), route_edit(route, pool)};
    case 3:
        return {
            with_expected_version(pool_edit(pool, "expected"), random() % 40)};
    case 4:
        return {pool_edit(pool, fmt::format("s{}", random()))};
    default:
        return {route_edit(route, pool)};
    }
}

std::vector<row_value> edited_rows(const edit_request& request)
{
    std::vector<change_record> one(1);
    for (const auto& edit : request.edits_)
    {
        one[0].delta_.changes_.push_back(edit.change_);
    }
    return to_history(one)[0].rows_;
}

edit_result classify(const result<edit_outcome>& outcome)
{
    if (outcome)
    {
        return edit_result::accepted;
    }
    return outcome.error().kind_ == error_kind::outcome_unknown
               ? edit_result::unknown
               : edit_result::refused;
}

/// Submits an edit and, while its outcome is unknown, resubmits it to other
/// nodes with the same change ID.
edit_record submit(
    std::vector<std::unique_ptr<editing_node>>& nodes,
    std::size_t first,
    const edit_request& request)
{
    edit_record record;
    record.id_ = request.id_;
    record.rows_ = edited_rows(request);
    record.invoked_at_ = now_us();
    for (std::size_t count = 0; count < nodes.size(); ++count)
    {
        const auto outcome =
            nodes[(first + count) % nodes.size()]->editor_.submit(request);
        record.result_ = classify(outcome);
        if (outcome)
        {
            record.revision_ = outcome->revision_;
        }
        // A rejected resubmission does not determine the outcome of the first
        // submission.
        if (count > 0 && !outcome)
        {
            record.result_ = edit_result::unknown;
        }
        if (record.result_ != edit_result::unknown)
        {
            break;
        }
    }
    record.answered_at_ = now_us();
    return record;
}

struct run_outcome
{
    run_history history_;
    std::vector<change_record> records_;
    std::vector<std::string> violations_;
};

run_outcome run_editors(fault_rates rates, unsigned seed)
{
    memory_tables shared;
    std::vector<std::unique_ptr<editing_node>> nodes;
    for (unsigned index = 0; index < node_count; ++index)
    {
        nodes.push_back(
            std::make_unique<editing_node>(shared, rates, seed + index));
    }
    run_outcome outcome;
    std::mutex mutex;
    std::vector<std::thread> operators;
    for (unsigned index = 0; index < node_count * operators_per_node; ++index)
    {
        operators.emplace_back(
            [&, index]
            {
                std::mt19937 random(seed + index);
                for (unsigned edit = 0; edit < edits_per_operator; ++edit)
                {
                    const auto record = submit(
                        nodes, index % node_count,
                        make_request(
                            fmt::format("o{}-{}", index, edit),
                            random_edits(random)));
                    const std::lock_guard lock(mutex);
                    outcome.history_.edits_.push_back(record);
                }
            });
    }
    for (auto& thread : operators)
    {
        thread.join();
    }
    for (auto& node : nodes)
    {
        node->tables_.deliver_delayed();
    }
    outcome.records_ = *read_changes(shared, revision{0}, 100'000);
    outcome.history_.changes_ = to_history(outcome.records_);
    outcome.violations_ = check_stored_rows(outcome.records_, shared);
    return outcome;
}

void expect_no_violations(run_outcome outcome)
{
    auto& found = outcome.violations_;
    const auto append = [&found](std::vector<std::string> more)
    {
        found.insert(found.end(), more.begin(), more.end());
    };
    append(check_edits(outcome.history_));
    append(check_references(outcome.history_));
    append(check_audit(outcome.records_));
    for (const auto& violation : found)
    {
        cr_log_error("%s", violation.c_str());
    }
    cr_assert(found.empty());
    cr_assert(outcome.records_.size() > node_count * operators_per_node);
}

} // namespace

// Guards against lost or duplicate edits when operators edit concurrently.
Test(concurrent_editors, racing_edits_are_linearizable)
{
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        expect_no_violations(run_editors({}, seed));
    }
}

// Guards against an edit that is committed twice, or reported with a wrong
// outcome, when requests to the platform and its responses are lost.
Test(concurrent_editors, lost_answers_commit_at_most_once)
{
    for (unsigned seed = 1; seed <= 10; ++seed)
    {
        expect_no_violations(run_editors({0.02, 0.1, 0.05, 0.1}, seed));
    }
}

// Guards against a delayed transaction that commits a stale edit after its
// editor has stopped waiting for it.
Test(concurrent_editors, delayed_transactions_commit_no_stale_edit)
{
    for (unsigned seed = 1; seed <= 10; ++seed)
    {
        expect_no_violations(run_editors({0, 0, 0, 0.4}, seed));
    }
}

// Guards against an edit that is committed twice when some requests are
// rate-limited and others are lost.
Test(concurrent_editors, rate_limits_commit_at_most_once)
{
    for (unsigned seed = 1; seed <= 10; ++seed)
    {
        expect_no_violations(run_editors({0, 0.1, 0.05, 0.1, 0.2}, seed));
    }
}
