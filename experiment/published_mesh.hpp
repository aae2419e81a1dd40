#ifndef HEMLOCKSHELF_EXPERIMENT_PUBLISHED_MESH_HPP
#define HEMLOCKSHELF_EXPERIMENT_PUBLISHED_MESH_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "adapters/http/json_server.hpp"
#include "experiment/address_block.hpp"
#include "experiment/child_process.hpp"
#include "experiment/json_call.hpp"
#include "experiment/node_place.hpp"
#include "experiment/storm_checks.hpp"
#include "standins/store/store_service.hpp"

namespace hemlockshelf {

struct published_mesh_options
{
    std::string bin_folder_;
    /// Settings file of a node, in which the platform fills in names.
    std::string settings_template_;
    std::size_t nodes_ = 0;
    /// Replaces the number in the template.
    std::size_t publication_readers_ = 0;
};

/// Node processes that get their configuration from the stand-in for the users'
/// store, which runs in this process.
class published_mesh
{
public:
    /// Region that is far from the store.
    static constexpr const char* distant_region = "region-2";

    /// Throws `std::exception` if a file can't be read or written or no
    /// addresses are free.
    explicit published_mesh(const published_mesh_options& options);
    ~published_mesh();

    published_mesh(const published_mesh&) = delete;
    published_mesh& operator=(const published_mesh&) = delete;

    [[nodiscard]] const std::vector<node_place>& places() const;
    [[nodiscard]] store_service& store();

    void start_node(std::size_t index);
    /// Restricts the nodes that run, and those that are started later, to this
    /// number of processors. This process, and with it the store, is not
    /// restricted.
    void limit_node_processors(std::size_t count);
    void kill_node(std::size_t index);
    [[nodiscard]] bool node_is_up(std::size_t index) const;

    /// Returns the process of the node that was started last, from 1.
    [[nodiscard]] std::uint64_t process(std::size_t index) const;

    /// Returns the node's status, or null if it does not answer.
    [[nodiscard]] nlohmann::json status(std::size_t index) const;

    /// Returns the nodes that exited unexpectedly.
    [[nodiscard]] violations missing_processes();

    /// Adds the processes that were started, and the events in their logs, to
    /// the history.
    void read_logs(storm_history& history) const;

    /// Leaves the folder with settings and logs in place.
    void keep_files();
    [[nodiscard]] const std::string& folder() const;

private:
    struct node_slot
    {
        std::optional<child_process> process_;
        std::vector<node_run> runs_;
    };

    void delay_distant_region();
    [[nodiscard]] std::string settings_text(
        const published_mesh_options& options, std::size_t index) const;
    [[nodiscard]] std::string log_path(const node_run& run) const;
    [[nodiscard]] std::string settings_path(std::size_t index) const;

    std::string daemon_;
    address_block block_;
    std::vector<node_place> places_;
    std::string folder_;
    bool keep_files_ = false;
    store_service store_;
    boost::asio::io_context context_;
    json_server server_;
    std::thread thread_;
    std::vector<node_slot> slots_;
    std::optional<std::size_t> node_processors_;
};

} // namespace hemlockshelf

#endif
