#ifndef HEMLOCKSHELF_EXPERIMENT_CLUSTER_HPP
#define HEMLOCKSHELF_EXPERIMENT_CLUSTER_HPP

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "experiment/address_block.hpp"
#include "experiment/child_process.hpp"
#include "experiment/cluster_options.hpp"
#include "experiment/json_call.hpp"
#include "experiment/node_place.hpp"
#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// A mesh of the real binaries on its own block of loopback addresses. The
/// thread that starts the processes has to outlive the cluster, since child
/// processes are killed when the thread that started them exits. The files are
/// removed unless `keep_files` is called.
class cluster
{
public:
    /// Writes the settings. Throws `std::exception` on failure.
    explicit cluster(cluster_options options);
    ~cluster();

    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Starts every process and waits until each node responds. Returns a
    /// line for each process that did not start.
    std::vector<std::string> start();

    /// Stops the nodes with SIGTERM. Returns a line for each process that had
    /// exited before, did not stop or had an exit code other than 0.
    std::vector<std::string> stop();

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] const node_place& place(std::size_t index) const;
    [[nodiscard]] const cluster_options& options() const;
    /// Returns the services that have an upstream in the mesh.
    [[nodiscard]] std::set<std::string> services() const;
    [[nodiscard]] const std::string& folder() const;

    /// Keeps the files of the run after its end.
    void keep_files();

    void start_node(std::size_t index);
    void start_upstream(std::size_t index);
    void kill_node(std::size_t index);
    void kill_upstream(std::size_t index);
    void signal_node(std::size_t index, int number);
    void signal_upstream(std::size_t index, int number);
    /// Stops a node by SIGTERM. Returns its exit code, or nothing if it did
    /// not stop in time.
    std::optional<int>
    terminate_node(std::size_t index, std::chrono::milliseconds timeout);

    /// Returns whether the node is expected to be running.
    [[nodiscard]] bool node_is_up(std::size_t index) const;
    [[nodiscard]] pid_t node_pid(std::size_t index) const;

    /// Sends a request to a node's admin interface with the operator token.
    json_answer
    ask(std::size_t index,
        boost::beast::http::verb method,
        const std::string& path,
        const nlohmann::json& body = nullptr,
        std::chrono::milliseconds timeout = std::chrono::seconds{2}) const;

    /// Returns the revision that a node reports, if it answers.
    [[nodiscard]] std::optional<revision>
    node_revision(std::size_t index) const;

    /// Waits until every node that is up runs at least `number`. Returns the
    /// names of those that do not.
    std::vector<std::string>
    wait_for_revision(revision number, std::chrono::milliseconds timeout) const;

    /// Injects a fault into the platform. Returns whether it was accepted.
    bool set_platform_fault(const nlohmann::json& fault) const;
    /// Injects a fault into the links. Returns whether it was accepted.
    bool set_link_fault(const nlohmann::json& fault) const;
    [[nodiscard]] nlohmann::json link_counters() const;
    /// Returns the counts of the platform's requests, or null.
    [[nodiscard]] nlohmann::json platform_counters() const;

    /// Reads all changes from the platform itself.
    [[nodiscard]] std::vector<committed_change> committed_changes() const;
    /// Reads the execution logs of the upstreams.
    [[nodiscard]] std::vector<execution_record> executions() const;
    /// Reads the rows of a node, or nothing if it does not answer.
    [[nodiscard]] std::optional<rows_report> node_rows(std::size_t index) const;

private:
    struct node_slot
    {
        std::optional<child_process> node_;
        std::optional<child_process> upstream_;
        bool node_expected_ = false;
        bool upstream_expected_ = false;
    };

    [[nodiscard]] std::string binary(const char* name) const;
    [[nodiscard]] std::string file(const std::string& name) const;
    std::vector<std::string> wait_for_nodes() const;
    std::vector<std::string> missing_processes();

    cluster_options options_;
    address_block block_;
    std::vector<node_place> places_;
    std::string folder_;
    bool keep_files_ = false;
    std::optional<child_process> platform_;
    std::optional<child_process> link_;
    std::vector<node_slot> slots_;
};

} // namespace hemlockshelf

#endif
