#include "experiment/publication_storm.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "experiment/load_generator.hpp"
#include "experiment/storm_documents.hpp"
#include "experiment/wait.hpp"
#include "hemlockshelf/core/error_table.hpp"
#include "platform/wire_names.hpp"

namespace hemlockshelf {

namespace {

/// Maximum time, required by users, until a published version is in force.
constexpr std::chrono::seconds in_force_bound{3};
/// Number of readers that the users' store and links are sized for. Independent
/// of the setting, so that the check fails if the setting is raised.
constexpr std::size_t publication_readers = 4;
constexpr std::size_t silenced_readers = 2;
constexpr std::chrono::seconds join_timeout{20};
// A node that was a reader while it knew no others ends its last wait for
// changes within 1 s.
constexpr std::chrono::seconds settle_time{2};
constexpr std::chrono::milliseconds sample_interval{100};
/// Every n-th node is restarted by `restart_in_turn`.
constexpr std::size_t restarted_share = 3;
/// Every n-th version cannot be parsed.
constexpr std::size_t broken_version_interval = 4;

using traffic_by_client = std::map<std::string, store_traffic>;

std::uint64_t documents_of(const traffic_by_client& all, const std::string& who)
{
    const auto client = all.find(who);
    if (client == all.end())
    {
        return 0;
    }
    const auto rows = client->second.rows_.find(wire::operator_table);
    return rows == client->second.rows_.end() ? 0 : rows->second;
}

std::uint64_t bytes_of(const traffic_by_client& all)
{
    std::uint64_t bytes = 0;
    for (const auto& [client, traffic] : all)
    {
        bytes += traffic.bytes_;
    }
    return bytes;
}

/// Returns how many nodes may read documents after all have joined. A reader
/// that fails has already read documents and is replaced by another node, so
/// both are counted.
std::size_t allowed_readers(storm_disturbance disturbance, std::size_t restarts)
{
    switch (disturbance)
    {
    case storm_disturbance::silent_readers:
        return publication_readers + silenced_readers;
    case storm_disturbance::restart_node:
        return publication_readers + 1;
    case storm_disturbance::restart_in_turn:
        return publication_readers + restarts;
    default:
        return publication_readers;
    }
}

class storm_run
{
public:
    explicit storm_run(const storm_options& options)
        : options_(options), mesh_(options.mesh_),
          documents_(options.routes_, options.seed_)
    {}

    storm_report run()
    {
        publish(documents_.next());
        for (std::size_t index = 0; index < size(); ++index)
        {
            mesh_.start_node(index);
        }
        if (!wait_until(
                join_timeout,
                [this]
                {
                    return all_joined();
                }))
        {
            report_.problems_.emplace_back("not every node has joined");
            return finish();
        }
        std::this_thread::sleep_for(settle_time);
        before_ = mesh_.store().traffic();
        if (is_short_of_processors())
        {
            mesh_.limit_node_processors(options_.node_processors_);
            // A reader that is late must not miss a version that a broken one
            // has followed.
            mesh_.store().keep_each_change();
        }
        publish(documents_.next());
        wait_for_last_version();
        start_calls();
        publish_storm();
        wait_for_last_version();
        stop_calls();
        // Without calls, nodes have processor time to catch up.
        wait_for_last_version();
        check();
        return finish();
    }

private:
    [[nodiscard]] std::size_t size() const
    {
        return mesh_.places().size();
    }

    [[nodiscard]] bool is_short_of_processors() const
    {
        return options_.node_processors_ > 0;
    }

    void publish(const storm_document& document)
    {
        history_.versions_.push_back(
            {document.number_, event_now(), document.readable_});
        if (document.readable_)
        {
            const std::lock_guard lock(called_mutex_);
            called_.push_back(history_.versions_.back());
        }
        mesh_.store().publish(
            wire::operator_table, wire::configuration_key, document.text_);
    }

    void publish_storm()
    {
        const auto count = options_.versions_;
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t number = 0; number < count; ++number)
        {
            std::this_thread::sleep_until(start + number * options_.interval_);
            if (number == count / 4)
            {
                disturb();
            }
            if (number >= count / 4 &&
                options_.disturbance_ == storm_disturbance::restart_in_turn)
            {
                restart_next();
            }
            if (number == count / 2 &&
                options_.disturbance_ == storm_disturbance::restart_node)
            {
                mesh_.start_node(restarted_node_);
            }
            const bool broken =
                number % broken_version_interval == 1 && number + 1 < count;
            publish(broken ? documents_.next_broken() : documents_.next());
            // Asking slow nodes would delay the next version.
            if (!is_short_of_processors())
            {
                take_sample();
            }
        }
    }

    /// The seed chooses the readers.
    void disturb()
    {
        auto readers = current_readers();
        if (readers.size() < publication_readers)
        {
            report_.problems_.push_back(fmt::format(
                "{} nodes read the store, expected {}", readers.size(),
                publication_readers));
            return;
        }
        const auto first =
            readers.begin() +
            static_cast<std::ptrdiff_t>(options_.seed_ % readers.size());
        std::rotate(readers.begin(), first, readers.end());
        if (options_.disturbance_ == storm_disturbance::restart_node)
        {
            restarted_node_ = readers.front();
            mesh_.kill_node(restarted_node_);
        }
        if (options_.disturbance_ == storm_disturbance::silent_readers)
        {
            std::set<std::string> clients;
            readers.resize(silenced_readers);
            for (const auto index : readers)
            {
                clients.insert(mesh_.places()[index].source_address_);
            }
            mesh_.store().silence(clients);
        }
    }

    void restart_next()
    {
        const auto index =
            (options_.seed_ + restarts_ * restarted_share) % size();
        mesh_.kill_node(index);
        mesh_.start_node(index);
        ++restarts_;
    }

    void start_calls()
    {
        if (options_.calls_per_second_ == 0)
        {
            return;
        }
        load_options options;
        options.rate_ = options_.calls_per_second_;
        for (const auto& place : mesh_.places())
        {
            options.targets_.push_back(place.calls_);
        }
        options.hosts_ = {storm_host};
        options.non_idempotent_share_ = 0;
        options.large_share_ = 0;
        options.seed_ = options_.seed_;
        options.next_path_ = [this]
        {
            return path_of_version(next_called_version());
        };
        calls_ = std::make_unique<load_generator>(std::move(options));
        calls_->start();
    }

    /// Returns in turn the newest version and the newest one that must be in
    /// force.
    revision next_called_version()
    {
        const std::lock_guard lock(called_mutex_);
        calls_newest_ = !calls_newest_;
        const auto latest = event_now() - in_force_bound;
        const auto due = std::ranges::find_if(
            called_.rbegin(), called_.rend(),
            [latest](const published_version& version)
            {
                return version.at_ < latest;
            });
        return calls_newest_ || due == called_.rend() ? called_.back().number_
                                                      : due->number_;
    }

    void stop_calls()
    {
        if (calls_)
        {
            history_.calls_ = calls_->stop();
        }
    }

    /// Returns the nodes that have read documents since all have joined.
    std::vector<std::size_t> current_readers()
    {
        std::vector<std::size_t> readers;
        const auto now = mesh_.store().traffic();
        for (std::size_t index = 0; index < size(); ++index)
        {
            if (documents_read(now, index) > 0)
            {
                readers.push_back(index);
            }
        }
        return readers;
    }

    std::uint64_t
    documents_read(const traffic_by_client& now, std::size_t index) const
    {
        const auto& client = mesh_.places()[index].source_address_;
        return documents_of(now, client) - documents_of(before_, client);
    }

    bool all_joined()
    {
        for (std::size_t index = 0; index < size(); ++index)
        {
            const auto status = mesh_.status(index);
            if (!status.is_object() || status.value("state", "") != "serving" ||
                status.value("revision", std::uint64_t{0}) !=
                    history_.versions_.front().number_.value() ||
                status.at("members").value("alive", std::size_t{0}) < size())
            {
                return false;
            }
        }
        return true;
    }

    /// Asks every node for its revision. Returns whether all that are up run
    /// the last one.
    bool take_sample()
    {
        states_.clear();
        for (std::size_t index = 0; index < size(); ++index)
        {
            const auto status = mesh_.node_is_up(index) ? mesh_.status(index)
                                                        : nlohmann::json();
            if (!status.is_object())
            {
                continue;
            }
            const vm_id vm{mesh_.places()[index].vm_};
            const revision held{status.value("revision", std::uint64_t{0})};
            samples_.revisions_.push_back(
                {vm, mesh_.process(index), held, event_now()});
            states_.push_back({vm, held, status.value("hash", "")});
        }
        const auto last = history_.versions_.back().number_;
        return states_.size() == size() &&
               std::ranges::all_of(
                   states_,
                   [last](const final_state& state)
                   {
                       return state.revision_ == last;
                   });
    }

    /// Waits beyond the bound, so that late nodes are reported with their time.
    void wait_for_last_version()
    {
        const auto until =
            std::chrono::steady_clock::now() + 2 * in_force_bound;
        while (!take_sample() && std::chrono::steady_clock::now() < until)
        {
            std::this_thread::sleep_for(sample_interval);
        }
    }

    void add(violations found)
    {
        std::ranges::move(found, std::back_inserter(report_.problems_));
    }

    void check()
    {
        mesh_.read_logs(history_);
        samples_.versions_ = history_.versions_;
        run_history reported;
        for (const auto* source : {&history_, &samples_})
        {
            add(check_published_only(*source));
            reported.revisions_ = source->revisions_;
            add(check_revisions_rise(reported));
        }
        add(check_calls_know_versions(history_, in_force_bound));
        add(check_final_states(states_, history_.versions_.back().number_));
        if (states_.size() != size())
        {
            report_.problems_.push_back(fmt::format(
                "{} of {} nodes answer at the end", states_.size(), size()));
        }
        // A node without processor time may get a version late, as long as it
        // does not handle calls meanwhile. It may also hear of no other node
        // in time and read the store by itself.
        if (!is_short_of_processors())
        {
            add(check_in_force_in_time(history_, in_force_bound));
            add(check_joining_reads(history_));
            check_store(mesh_.store().traffic());
        }
    }

    void check_store(const traffic_by_client& now)
    {
        std::set<std::string> reading;
        for (std::size_t index = 0; index < size(); ++index)
        {
            if (const auto documents = documents_read(now, index))
            {
                const auto& place = mesh_.places()[index];
                reading.insert(place.vm_);
                // Documents fill the link between regions, on which everything
                // else waits.
                if (place.region_ == published_mesh::distant_region)
                {
                    report_.problems_.push_back(fmt::format(
                        "{} read {} documents from another region", place.vm_,
                        documents));
                }
                report_.documents_ += documents;
            }
        }
        report_.reading_nodes_ = reading.size();
        report_.bytes_ = bytes_of(now) - bytes_of(before_);
        add(check_reader_count(
            reading, allowed_readers(options_.disturbance_, restarts_)));
    }

    storm_report finish()
    {
        add(mesh_.missing_processes());
        report_.slowest_ = slowest_time(history_);
        report_.calls_ = history_.calls_.size();
        report_.calls_without_route_ =
            static_cast<std::size_t>(std::ranges::count(
                history_.calls_,
                error_properties_of(error_kind::no_route).name_,
                &request_record::error_));
        if (!report_.problems_.empty())
        {
            mesh_.keep_files();
            report_.folder_ = mesh_.folder();
        }
        return std::move(report_);
    }

    const storm_options& options_;
    published_mesh mesh_;
    storm_documents documents_;
    /// Events read from the logs of the nodes.
    storm_history history_;
    /// Events sampled from the admin interfaces.
    storm_history samples_;
    /// Node states in the last sample.
    std::vector<final_state> states_;
    /// Traffic of the store up to the moment when all nodes had joined.
    traffic_by_client before_;
    std::size_t restarted_node_ = 0;
    std::size_t restarts_ = 0;
    /// Guards what the thread of the calls uses.
    std::mutex called_mutex_;
    /// Readable versions, whose routes are called.
    std::vector<published_version> called_;
    bool calls_newest_ = false;
    std::unique_ptr<load_generator> calls_;
    storm_report report_;
};

} // namespace

storm_report run_storm(const storm_options& options)
{
    return storm_run(options).run();
}

std::string to_text(const storm_report& report)
{
    auto text = fmt::format(
        "{} nodes read {} documents after the join; the store sent {} bytes; "
        "slowest node {} ms; {} calls, {} of them without a route\n",
        report.reading_nodes_, report.documents_, report.bytes_,
        report.slowest_.count(), report.calls_, report.calls_without_route_);
    for (const auto& problem : report.problems_)
    {
        text += "problem: " + problem + "\n";
    }
    if (!report.folder_.empty())
    {
        text += "files: " + report.folder_ + "\n";
    }
    return text;
}

} // namespace hemlockshelf
