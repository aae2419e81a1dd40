// Compares two schemes for ordering concurrent edits, also with a paused node:
// slots that are taken by compare-and-set, and a lease holder. Prints a
// Markdown table.

#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

#include <fmt/format.h>

#include "hemlockshelf/editing/config_reader.hpp"
#include "hemlockshelf/history/checkers.hpp"
#include "standins/platform/memory_tables.hpp"
#include "test/editing/audit_checker.hpp"
#include "test/editing/edit_samples.hpp"
#include "test/editing/ordering/lease_node.hpp"
#include "test/editing/ordering/slot_node.hpp"

namespace {

using namespace hemlockshelf;
using std::chrono::milliseconds;

constexpr std::size_t node_count = 8;
constexpr milliseconds run_time{5000};
constexpr milliseconds pause_at{1500};
// Longer than the lease, so that another node acquires it during the pause.
constexpr milliseconds pause_length{3000};

enum class ordering
{
    slots,
    fenced_lease,
    unfenced_lease,
};

struct scenario
{
    ordering ordering_;
    milliseconds round_trip_;
    std::size_t operators_;
    bool pause_ = false;
};

struct measurement
{
    double accepted_per_second_ = 0;
    double median_ms_ = 0;
    double longest_ms_ = 0;
    std::size_t resubmitted_ = 0;
    std::size_t lost_edits_ = 0;
    std::size_t violations_ = 0;
};

struct cluster
{
    memory_tables shared_;
    std::vector<lease_node*> peers_;
    std::vector<std::unique_ptr<ordering_node>> nodes_;
};

std::string_view name_of(ordering value)
{
    constexpr std::string_view names[] = {
        "slots", "lease, fenced", "lease, unfenced"};
    return names[static_cast<std::size_t>(value)];
}

std::unique_ptr<cluster> make_cluster(const scenario& tested)
{
    auto made = std::make_unique<cluster>();
    for (std::size_t index = 0; index < node_count; ++index)
    {
        if (tested.ordering_ == ordering::slots)
        {
            made->nodes_.push_back(std::make_unique<slot_node>(
                made->shared_, tested.round_trip_,
                vm_id{fmt::format("vm-{}", index)}));
            continue;
        }
        lease_settings settings;
        settings.fenced_ = tested.ordering_ == ordering::fenced_lease;
        auto node = std::make_unique<lease_node>(
            made->shared_, tested.round_trip_, settings, index, made->peers_);
        made->peers_.push_back(node.get());
        made->nodes_.push_back(std::move(node));
    }
    return made;
}

event_time now_us()
{
    return std::chrono::duration_cast<event_time>(
        std::chrono::steady_clock::now().time_since_epoch());
}

/// Submits an edit until it is accepted and counts the resubmissions.
edit_record submit_until_accepted(
    ordering_node& node,
    const edit_request& request,
    std::atomic<std::size_t>& resubmitted)
{
    edit_record record;
    record.id_ = request.id_;
    change_record change;
    change.delta_.changes_ = {request.edits_.front().change_};
    record.rows_ = to_history({change}).front().rows_;
    record.invoked_at_ = now_us();
    auto outcome = node.submit(request);
    while (!outcome)
    {
        ++resubmitted;
        outcome = node.submit(request);
    }
    record.answered_at_ = now_us();
    record.result_ = edit_result::accepted;
    record.revision_ = outcome->revision_;
    return record;
}

run_history run(cluster& made, const scenario& tested, std::size_t& resubmitted)
{
    run_history history;
    std::mutex mutex;
    std::atomic<std::size_t> refusals = 0;
    const auto until = std::chrono::steady_clock::now() + run_time;
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < tested.operators_; ++index)
    {
        threads.emplace_back(
            [&, index]
            {
                auto& node = *made.nodes_[index % node_count];
                for (int edit = 0; std::chrono::steady_clock::now() < until;
                     ++edit)
                {
                    const auto id = fmt::format("o{}-{}", index, edit);
                    const auto key = fmt::format("regie/p{}", index);
                    const auto record = submit_until_accepted(
                        node, make_request(id, {pool_edit(key, id)}), refusals);
                    const std::lock_guard lock(mutex);
                    history.edits_.push_back(record);
                }
            });
    }
    if (tested.pause_)
    {
        std::this_thread::sleep_for(pause_at);
        // The nodes initially forward edits to node 0.
        made.nodes_[0]->pause_next_commit(pause_length);
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    resubmitted = refusals;
    return history;
}

measurement measure(const scenario& tested)
{
    const auto made = make_cluster(tested);
    measurement found;
    const auto started = now_us();
    auto history = run(*made, tested, found.resubmitted_);
    const auto taken = static_cast<double>((now_us() - started).count()) / 1e6;
    std::vector<double> waits;
    for (const auto& edit : history.edits_)
    {
        waits.push_back(
            static_cast<double>(
                (edit.answered_at_ - edit.invoked_at_).count()) /
            1e3);
    }
    std::ranges::sort(waits);
    found.accepted_per_second_ = static_cast<double>(waits.size()) / taken;
    found.median_ms_ = waits[waits.size() / 2];
    found.longest_ms_ = waits.back();
    const auto records = read_changes(made->shared_, revision{0}, 1'000'000);
    history.changes_ = to_history(*records);
    found.lost_edits_ =
        waits.size() - std::min(waits.size(), history.changes_.size());
    found.violations_ = check_edits(history).size();
    return found;
}

void print(const scenario& tested)
{
    const auto found = measure(tested);
    std::cout << fmt::format(
                     "| {} | {} | {} | {} | {:.1f} | {:.1f} | {:.0f} | {} | {} "
                     "| {} |",
                     name_of(tested.ordering_), tested.round_trip_.count(),
                     tested.operators_, tested.pause_ ? "yes" : "no",
                     found.accepted_per_second_, found.median_ms_,
                     found.longest_ms_, found.resubmitted_, found.lost_edits_,
                     found.violations_)
              << std::endl;
}

} // namespace

int main()
{
    std::cout << "| ordering | round trip ms | operators | paused node | "
                 "accepted/s | median wait ms | longest wait ms | resubmitted "
                 "| accepted edits lost | violations |\n"
                 "|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto round_trip : {milliseconds{2}, milliseconds{40}})
    {
        for (const std::size_t operators : {1, 8, 32})
        {
            print({ordering::slots, round_trip, operators});
            print({ordering::fenced_lease, round_trip, operators});
        }
    }
    for (const auto which :
         {ordering::slots, ordering::fenced_lease, ordering::unfenced_lease})
    {
        print({which, milliseconds{2}, 8, true});
    }
    return 0;
}
