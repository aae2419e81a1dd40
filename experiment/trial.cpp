#include "experiment/trial.hpp"

#include <algorithm>
#include <optional>
#include <thread>

#include <fmt/format.h>

#include "experiment/disturbance.hpp"
#include "experiment/final_checks.hpp"
#include "experiment/load_generator.hpp"
#include "experiment/operators.hpp"
#include "experiment/revision_watcher.hpp"
#include "experiment/settings_files.hpp"
#include "experiment/versioned_operators.hpp"
#include "hemlockshelf/history/checkers.hpp"

namespace hemlockshelf {

namespace {

constexpr std::chrono::milliseconds settle_time{1500};
constexpr std::chrono::milliseconds watch_interval{100};
/// Disturbances of one trial begin within this time.
constexpr int max_begin_delay_ms = 1500;

load_options
make_load_options(const trial_options& options, const cluster& mesh)
{
    const auto& deployed = mesh.options().deployment_;
    load_options load;
    load.rate_ = options.rate_;
    load.work_ = options.work_;
    load.seed_ = options.seed_;
    load.account_ = deployed.account_;
    for (const auto& service : mesh.services())
    {
        if (!options.services_.empty() &&
            std::ranges::find(options.services_, service) ==
                options.services_.end())
        {
            continue;
        }
        load.hosts_.push_back(service + "." + deployed.account_);
    }
    for (std::size_t index = 0; index < mesh.size(); ++index)
    {
        load.targets_.push_back(mesh.place(index).calls_);
    }
    return load;
}

operator_options make_operator_options(const trial_options& options)
{
    operator_options operators;
    operators.count_ = options.operators_;
    operators.seed_ = options.seed_;
    return operators;
}

/// Runs one trial.
class trial
{
public:
    explicit trial(const trial_options& options)
        : options_(options), mesh_(options.cluster_),
          load_(make_load_options(options, mesh_)),
          operators_(mesh_, make_operator_options(options)),
          versioned_(mesh_, options.versioned_operators_, options.seed_),
          watcher_(mesh_, watch_interval)
    {
        context_.mesh_ = &mesh_;
        context_.load_ = &load_;
        context_.random_.seed(options.seed_);
        context_.is_combined_ = options.disturbances_.size() > 1;
    }

    trial_result run()
    {
        if (prepare())
        {
            disturb();
            finish();
        }
        trial_result result{context_.problems_, counts(), {}};
        if (!result.problems_.empty())
        {
            result.folder_ = mesh_.folder();
            mesh_.keep_files();
            write_file(mesh_.folder() + "/problems.txt", to_text(result));
        }
        return result;
    }

private:
    bool prepare()
    {
        add_problems(mesh_.start());
        if (!context_.problems_.empty())
        {
            return false;
        }
        const auto added = apply_tables(mesh_, history_, context_.problems_);
        watcher_.start();
        return added;
    }

    void disturb()
    {
        load_.start();
        operators_.start();
        versioned_.start();
        std::this_thread::sleep_for(settle_time);
        for (const auto& name : options_.disturbances_)
        {
            find_disturbance(name).begin_(context_);
            std::this_thread::sleep_for(std::chrono::milliseconds{
                context_.random_() % max_begin_delay_ms});
        }
        std::this_thread::sleep_for(options_.disturbance_duration_);
        for (const auto& name : options_.disturbances_)
        {
            find_disturbance(name).end_(context_);
        }
        std::this_thread::sleep_for(settle_time);
    }

    void finish()
    {
        append(history_.edits_, operators_.stop());
        append(history_.edits_, versioned_.stop());
        append(history_.requests_, load_.stop());
        append(history_.edits_, context_.edits_);
        check_shares();
        check_versioned_race();
        check_accounts_known();
        check_recovery(mesh_, history_, context_.problems_);
        append(history_.revisions_, watcher_.stop());
        collect_history(mesh_, history_, context_.problems_);
        add_problems(mesh_.stop());
        // The execution logs are complete only after the upstreams have exited.
        history_.executions_ = mesh_.executions();
        add_problems(check_all(history_));
    }

    void check_shares()
    {
        std::size_t unknown = 0;
        std::size_t served = 0;
        std::string example;
        for (const auto& request : history_.requests_)
        {
            served += request.result_ == request_result::served ? 1 : 0;
            if (request.result_ == request_result::unknown)
            {
                ++unknown;
                example = request.id_.value() + ": " + request.error_;
            }
        }
        if (options_.every_outcome_known_ && unknown > 0)
        {
            context_.problems_.push_back(fmt::format(
                "{} calls ended without a definite answer although nothing "
                "broke, such as {}",
                unknown, example));
        }
        const auto total = static_cast<double>(history_.requests_.size());
        if (static_cast<double>(served) < options_.min_served_share_ * total)
        {
            context_.problems_.push_back(fmt::format(
                "{} of {} calls were served, expected a share of {}", served,
                total, options_.min_served_share_));
        }
    }

    /// Requires both accepted and refused edits; otherwise the operators did
    /// not conflict.
    void check_versioned_race()
    {
        std::size_t won = 0;
        std::size_t lost = 0;
        for (const auto& edit : history_.edits_)
        {
            const bool versioned = !edit.expected_.empty();
            won += versioned && edit.result_ == edit_result::accepted ? 1 : 0;
            lost += versioned && edit.result_ == edit_result::refused ? 1 : 0;
        }
        if (options_.versioned_operators_ == 0)
        {
            return;
        }
        context_.counts_["edits with expected_version accepted"] = won;
        context_.counts_["edits with expected_version refused"] = lost;
        if (won == 0 || lost == 0)
        {
            context_.problems_.push_back(fmt::format(
                "{} edits with expected_version were accepted and {} refused, "
                "expected some of both",
                won, lost));
        }
    }

    /// The tables are in force before the load starts, so a node that does not
    /// know a caller's account or route must be serving from older tables.
    void check_accounts_known()
    {
        for (const auto& request : history_.requests_)
        {
            if (request.error_ == "unknown_account" ||
                request.error_ == "no_route")
            {
                context_.problems_.push_back(fmt::format(
                    "call {} ended with {} although the tables were in force",
                    request.id_.value(), request.error_));
                return;
            }
        }
    }

    std::map<std::string, std::size_t> counts() const
    {
        auto counted = context_.counts_;
        for (const auto& request : history_.requests_)
        {
            switch (request.result_)
            {
            case request_result::served:
                ++counted["calls served"];
                break;
            case request_result::not_run:
                ++counted["calls not run: " + request.error_];
                break;
            case request_result::unknown:
                ++counted["calls unknown: " + request.error_];
                break;
            }
        }
        for (const auto& edit : history_.edits_)
        {
            ++counted
                [edit.result_ == edit_result::accepted  ? "edits accepted"
                 : edit.result_ == edit_result::refused ? "edits refused"
                                                        : "edits unknown"];
        }
        return counted;
    }

    void add_problems(const std::vector<std::string>& problems)
    {
        append(context_.problems_, problems);
    }

    template <class Item>
    static void append(std::vector<Item>& list, const std::vector<Item>& more)
    {
        list.insert(list.end(), more.begin(), more.end());
    }

    const trial_options& options_;
    cluster mesh_;
    load_generator load_;
    racing_operators operators_;
    versioned_operators versioned_;
    revision_watcher watcher_;
    trial_context context_;
    run_history history_;
};

} // namespace

trial_result run_trial(const trial_options& options)
{
    trial run(options);
    return run.run();
}

std::string to_text(const trial_result& result)
{
    std::string text;
    for (const auto& [name, count] : result.counts_)
    {
        text += fmt::format("  {}: {}\n", name, count);
    }
    constexpr std::size_t max_problems = 40;
    const auto shown = std::min(max_problems, result.problems_.size());
    for (std::size_t index = 0; index < shown; ++index)
    {
        text += "  PROBLEM " + result.problems_[index] + "\n";
    }
    if (!result.problems_.empty())
    {
        text += fmt::format(
            "  {} problems; files in {}\n", result.problems_.size(),
            result.folder_);
    }
    return text;
}

} // namespace hemlockshelf
