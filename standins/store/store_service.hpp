#ifndef HEMLOCKSHELF_STANDINS_STORE_STORE_SERVICE_HPP
#define HEMLOCKSHELF_STANDINS_STORE_STORE_SERVICE_HPP

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "adapters/http/http_message.hpp"

namespace hemlockshelf {

/// What the stand-in does to the next calls.
enum class store_fault
{
    none,
    /// Refuses with 503; nothing is done.
    down,
    /// Refuses with 429; nothing is done.
    busy,
    /// Does what is asked and gives no answer.
    lose_answers,
};

/// What one client was sent.
struct store_traffic
{
    /// Rows of each table.
    std::map<std::string, std::uint64_t> rows_;
    /// Bytes of bodies.
    std::uint64_t bytes_ = 0;
};

/// The users' store: rows in tables with parts and versions, a feed of changes
/// and objects. Thread-safe; a call for changes blocks until there are some.
class store_service
{
public:
    /// Answers a call of the client with the given address. Throws
    /// `withheld_response` if the fault in force loses the answer or the client
    /// is a silenced one.
    http_response
    handle(const http_request& request, const std::string& client = {});

    /// Writes a row as the operator does.
    void publish(
        const std::string& table,
        const std::string& key,
        const std::string& bytes);

    void set_fault(store_fault fault)
    {
        fault_ = fault;
    }

    /// Leaves the calls of these clients without an answer, also those that
    /// wait for changes at the moment. Replaces the clients silenced before.
    void silence(std::set<std::string> clients);

    /// Lets a call for changes answer with each change of a row that was made
    /// from now on, and not only with the last. The protocol allows both.
    void keep_each_change()
    {
        const std::lock_guard lock(mutex_);
        keeps_each_change_ = true;
    }

    /// Forgets every change so far: a call for changes after an older version
    /// is answered with 410.
    void forget_history();

    /// Calls that were made, refused ones included.
    [[nodiscard]] std::uint64_t calls() const
    {
        return calls_;
    }

    /// Returns what each client was sent so far, by its address.
    [[nodiscard]] std::map<std::string, store_traffic> traffic() const;

private:
    /// Table, part and key.
    using row_name = std::tuple<std::string, std::string, std::string>;

    struct row
    {
        std::string value_;
        std::uint64_t version_ = 0;
        bool removed_ = false;
    };

    struct counted_response
    {
        http_response response_;
        /// Rows in the body.
        std::size_t rows_ = 0;
    };

    counted_response execute(const http_request& request);
    http_response transact(const http_request& request);
    counted_response read_range(const http_request& request);
    counted_response wait_for_changes(const http_request& request);
    void throw_if_silenced(const std::string& client) const;
    void note_sent(
        const http_request& request,
        const std::string& client,
        const counted_response& sent);
    [[nodiscard]] nlohmann::json
    changes_after(const std::string& table, std::uint64_t version) const;
    http_response handle_object(const http_request& request);
    [[nodiscard]] std::uint64_t version_of(const row_name& name) const;
    void write(const row_name& name, const std::string& value, bool removed);

    std::atomic<store_fault> fault_ = store_fault::none;
    std::atomic<std::uint64_t> calls_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_name, row> rows_;
    bool keeps_each_change_ = false;
    /// Changes in order, if each is kept.
    std::vector<std::pair<row_name, row>> changes_;
    std::map<std::string, std::string> objects_;
    std::set<std::string> silenced_;
    std::map<std::string, store_traffic> traffic_;
    std::uint64_t version_ = 0;
    std::uint64_t forgotten_ = 0;
};

} // namespace hemlockshelf

#endif
