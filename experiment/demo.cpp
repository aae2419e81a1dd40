#include "experiment/demo.hpp"

#include <iostream>
#include <set>

#include <fmt/format.h>

#include "experiment/final_checks.hpp"
#include "experiment/operators.hpp"
#include "experiment/revision_watcher.hpp"
#include "experiment/single_call.hpp"
#include "experiment/wait.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds step_timeout{20};
constexpr std::chrono::milliseconds watch_interval{5};

/// Prints the steps of the demo and records whether one failed.
class demo
{
public:
    explicit demo(const cluster_options& options)
        : mesh_(options), watcher_(mesh_, watch_interval)
    {}

    bool run()
    {
        if (!start())
        {
            return false;
        }
        show_edit();
        show_calls();
        show_drain();
        show_replacement();
        show_audit();
        return succeeded_;
    }

private:
    void step(bool succeeded, const std::string& text)
    {
        succeeded_ = succeeded_ && succeeded;
        std::cout << (succeeded ? "  ok    " : "  FAILED ") << text
                  << std::endl;
    }

    bool start()
    {
        std::cout << fmt::format(
            "Mesh of {}: {} nodes in {} failure domains\n",
            mesh_.options().deployment_.account_, mesh_.size(),
            mesh_.options().deployment_.domains_.size());
        auto problems = mesh_.start();
        if (problems.empty())
        {
            apply_tables(mesh_, history_, problems);
        }
        watcher_.start();
        step(
            problems.empty(), problems.empty() ? "the mesh serves every service"
                                               : problems.front());
        return problems.empty();
    }

    edit_record edit(const std::string& name, const nlohmann::json& row)
    {
        const auto& account = mesh_.options().deployment_.account_;
        return submit_edit(
            mesh_, 0, name,
            nlohmann::json::array(
                {{{"table", "pools"},
                  {"key", account + "/" + name},
                  {"row", row}}}));
    }

    void show_edit()
    {
        std::cout << "The edit:\n";
        const auto record = edit(
            "demo",
            {{"service", mesh_.options().deployment_.services_.front()}});
        step(
            record.result_ == edit_result::accepted,
            fmt::format(
                "change {} is revision {}", record.id_.value(),
                record.revision_.value()));
        const auto behind =
            mesh_.wait_for_revision(record.revision_, step_timeout);
        step(behind.empty(), "the revision is in force on every node");
        for (std::size_t index = 0; index < mesh_.size(); ++index)
        {
            show_arrival(index, record);
        }
    }

    void show_arrival(std::size_t index, const edit_record& record)
    {
        const auto& place = mesh_.place(index);
        std::optional<event_time> at;
        const bool seen = wait_until(
            step_timeout,
            [&]
            {
                at = watcher_.reached_at(vm_id{place.vm_}, record.revision_);
                return at.has_value();
            });
        const std::chrono::duration<double, std::milli> elapsed =
            seen ? *at - record.invoked_at_ : event_time{0};
        step(
            seen, fmt::format(
                      "{:36} {:14} after {:6.1f} ms", place.vm_, place.region_,
                      elapsed.count()));
    }

    bool call(std::size_t entry, const std::string& service, const char* name)
    {
        const auto& account = mesh_.options().deployment_.account_;
        const auto& place = mesh_.place(entry);
        const single_call wanted{
            place.calls_, account, service + "." + account,
            fmt::format("{}-{}", name, place.vm_)};
        return call_until_served(wanted, step_timeout, history_.requests_);
    }

    void show_calls()
    {
        std::cout << "Calls:\n";
        std::set<std::string> regions;
        for (std::size_t index = 0; index < mesh_.size(); ++index)
        {
            const auto& place = mesh_.place(index);
            if (regions.insert(place.region_).second)
            {
                step(
                    call(index, place.service_, "call"),
                    fmt::format(
                        "{} answered in {}", place.service_, place.region_));
            }
        }
    }

    void show_drain()
    {
        std::cout << "The drain:\n";
        const auto& place = mesh_.place(0);
        const auto answer = mesh_.ask(0, http::verb::post, "/v1/drain");
        step(answer.status_ == 200, "drain of " + place.vm_ + " accepted");
        const bool known = wait_until(
            step_timeout,
            [this]
            {
                return drain_is_known();
            });
        step(known, "another node knows of the drain");
        step(
            call(0, place.service_, "drained"),
            "other upstreams serve " + place.service_);
    }

    bool drain_is_known() const
    {
        const auto members =
            mesh_.ask(mesh_.size() - 1, http::verb::get, "/v1/members");
        for (const auto& member :
             members.body_.value("members", nlohmann::json::array()))
        {
            if (member.value("vm", "") == mesh_.place(0).vm_)
            {
                return member.value("state", "") == "draining";
            }
        }
        return false;
    }

    void show_replacement()
    {
        std::cout << "The replacement:\n";
        const std::size_t last = mesh_.size() - 1;
        const auto& place = mesh_.place(last);
        mesh_.kill_node(last);
        mesh_.kill_upstream(last);
        step(true, place.vm_ + " killed");
        const auto record = edit(
            "while-down",
            {{"service", mesh_.options().deployment_.services_.back()}});
        step(
            record.result_ == edit_result::accepted,
            fmt::format("revision {} accepted", record.revision_.value()));
        mesh_.start_node(last);
        mesh_.start_upstream(last);
        const auto behind =
            mesh_.wait_for_revision(record.revision_, step_timeout);
        step(behind.empty(), "the new node runs the last revision");
        step(call(last, place.service_, "replaced"), "the new node serves");
    }

    void show_audit()
    {
        std::cout << "The audit trail:\n";
        const auto answer =
            mesh_.ask(0, http::verb::get, "/v1/audit?after_revision=0");
        const auto entries =
            answer.body_.value("entries", nlohmann::json::array());
        for (const auto& entry : entries)
        {
            std::cout << fmt::format(
                "        revision {} change {} by {} through {}\n",
                entry.value("revision", 0), entry.value("change_id", ""),
                entry.value("actor", ""), entry.value("vm", ""));
        }
        step(entries.size() >= 3, "every edit has an entry");
    }

    cluster mesh_;
    revision_watcher watcher_;
    run_history history_;
    bool succeeded_ = true;
};

} // namespace

bool run_demo(const cluster_options& options)
{
    demo run(options);
    return run.run();
}

} // namespace hemlockshelf
