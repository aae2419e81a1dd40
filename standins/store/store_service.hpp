#ifndef HEMLOCKSHELF_STANDINS_STORE_STORE_SERVICE_HPP
#define HEMLOCKSHELF_STANDINS_STORE_STORE_SERVICE_HPP

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "adapters/http/http_message.hpp"

namespace hemlockshelf {

/// Fault that the stand-in applies to each call.
enum class store_fault
{
    none,
    /// Answers 503 without executing the call.
    down,
    /// Answers 429 without executing the call.
    busy,
    /// Executes the call but sends no answer.
    lose_answers,
};

/// Data sent to one client.
struct store_traffic
{
    /// Number of rows per table.
    std::map<std::string, std::uint64_t> rows_;
    /// Total size of the response bodies.
    std::uint64_t bytes_ = 0;
};

/// Stand-in for the users' store: versioned rows in partitioned tables, a
/// change feed and objects. Thread-safe; a call for changes blocks until there
/// are some or its wait time has passed.
class store_service
{
public:
    struct copy;

    /// Answers a call of the client with the given address. Throws
    /// `withheld_response` if the active fault withholds the answer or the
    /// client is silenced.
    http_response
    handle(const http_request& request, const std::string& client = {});

    /// Writes a row on behalf of the operator.
    void publish(
        const std::string& table,
        const std::string& key,
        const std::string& bytes);

    void set_fault(store_fault fault)
    {
        fault_ = fault;
    }

    /// Withholds the answers to these clients, including calls that are
    /// currently waiting for changes. Replaces the set of silenced clients.
    void silence(std::set<std::string> clients);

    /// Delays the answers to these clients, as a distant region would. Replaces
    /// the set of delayed clients.
    void delay(std::set<std::string> clients, std::chrono::milliseconds time);

    /// From now on, records every change, so that a call for changes returns
    /// all changes of a row instead of only the latest. The protocol allows
    /// both.
    void keep_each_change()
    {
        const std::lock_guard lock(mutex_);
        keeps_each_change_ = true;
    }

    /// Discards the change history: a call for changes after an older version
    /// is answered with 410.
    void forget_history();

    /// Returns a copy of the rows, to which the store can go back.
    [[nodiscard]] std::shared_ptr<const copy> take_copy() const;

    /// Goes back to the copy, as after a loss of the store: what was written
    /// since is gone, its versions are assigned again, and the era of all
    /// later answers is one higher.
    void return_to(const copy& earlier);

    /// Leaves the era out of the answers, as a store that does not report it.
    void hide_era()
    {
        shows_era_ = false;
    }

    /// Returns the number of calls received, including refused ones.
    [[nodiscard]] std::uint64_t calls() const
    {
        return calls_;
    }

    /// Returns the data sent to each client so far, by the client's address.
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
        /// Number of rows in the body.
        std::size_t rows_ = 0;
    };

    http_response
    answer(const http_request& request, const std::string& client);
    counted_response execute(const http_request& request);
    http_response transact(const http_request& request);
    counted_response read_range(const http_request& request);
    counted_response wait_for_changes(const http_request& request);
    void throw_if_silenced(const std::string& client) const;
    [[nodiscard]] std::chrono::milliseconds
    delay_of(const std::string& client) const;
    void count_sent(
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
    /// All changes in order, if `keeps_each_change_` is set.
    std::vector<std::pair<row_name, row>> changes_;
    std::map<std::string, std::string> objects_;
    std::set<std::string> silenced_;
    std::set<std::string> delayed_;
    std::chrono::milliseconds delay_{0};
    std::map<std::string, store_traffic> traffic_;
    std::uint64_t version_ = 0;
    std::uint64_t history_start_ = 0;
    std::atomic<std::uint64_t> era_ = 1;
    std::atomic<bool> shows_era_ = true;
};

/// Rows of the store at one moment.
struct store_service::copy
{
    std::map<row_name, row> rows_;
    std::vector<std::pair<row_name, row>> changes_;
    std::uint64_t version_ = 0;
};

} // namespace hemlockshelf

#endif
