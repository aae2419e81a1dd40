#include "standins/store/store_service.hpp"

#include <algorithm>
#include <string_view>
#include <thread>
#include <vector>

#include "adapters/http/json_server.hpp"
#include "platform/wire_names.hpp"
#include "platform/wire_values.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_rows = 500;
constexpr std::size_t max_bytes = 1'000'000;
// Longer than the timeout of any client.
constexpr std::chrono::seconds withheld_time{30};

std::uint64_t parse_number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

std::string string_field(const nlohmann::json& item, const char* field)
{
    return item.value(field, std::string{});
}

std::string object_name(const http_request& request, std::string_view path)
{
    return target_path(request).substr(path.size());
}

} // namespace

http_response
store_service::handle(const http_request& request, const std::string& client)
{
    auto sent = answer(request, client);
    if (shows_era_)
    {
        sent.set(wire::store_era_header, std::to_string(era_));
    }
    return sent;
}

http_response
store_service::answer(const http_request& request, const std::string& client)
{
    ++calls_;
    throw_if_silenced(client);
    std::this_thread::sleep_for(delay_of(client));
    const store_fault fault = fault_;
    if (fault == store_fault::down)
    {
        return json_response(503, {{"error", "down"}});
    }
    if (fault == store_fault::busy)
    {
        auto answer = json_response(429, {{"error", "busy"}});
        answer.set(http::field::retry_after, "0.25");
        return answer;
    }
    auto executed = execute(request);
    if (fault == store_fault::lose_answers)
    {
        throw withheld_response(std::chrono::milliseconds{0});
    }
    // The client may have been silenced while its call was waiting.
    throw_if_silenced(client);
    count_sent(request, client, executed);
    return std::move(executed.response_);
}

void store_service::silence(std::set<std::string> clients)
{
    const std::lock_guard lock(mutex_);
    silenced_ = std::move(clients);
}

void store_service::delay(
    std::set<std::string> clients, std::chrono::milliseconds time)
{
    const std::lock_guard lock(mutex_);
    delayed_ = std::move(clients);
    delay_ = time;
}

std::chrono::milliseconds
store_service::delay_of(const std::string& client) const
{
    const std::lock_guard lock(mutex_);
    return delayed_.contains(client) ? delay_ : std::chrono::milliseconds{0};
}

std::map<std::string, store_traffic> store_service::traffic() const
{
    const std::lock_guard lock(mutex_);
    return traffic_;
}

void store_service::throw_if_silenced(const std::string& client) const
{
    const std::lock_guard lock(mutex_);
    if (silenced_.contains(client))
    {
        throw withheld_response(withheld_time);
    }
}

void store_service::count_sent(
    const http_request& request,
    const std::string& client,
    const counted_response& sent)
{
    const std::lock_guard lock(mutex_);
    auto& traffic = traffic_[client];
    traffic.bytes_ += sent.response_.body().size();
    if (sent.rows_ > 0)
    {
        traffic.rows_[query_parameter(request, "table")] += sent.rows_;
    }
}

void store_service::publish(
    const std::string& table, const std::string& key, const std::string& bytes)
{
    const std::lock_guard lock(mutex_);
    ++version_;
    write({table, "", key}, encode_base64(bytes), false);
    changed_.notify_all();
}

std::shared_ptr<const store_service::copy> store_service::take_copy() const
{
    const std::lock_guard lock(mutex_);
    return std::make_shared<const copy>(copy{rows_, changes_, version_});
}

void store_service::return_to(const copy& earlier)
{
    const std::lock_guard lock(mutex_);
    rows_ = earlier.rows_;
    changes_ = earlier.changes_;
    version_ = earlier.version_;
    ++era_;
    changed_.notify_all();
}

void store_service::forget_history()
{
    const std::lock_guard lock(mutex_);
    ++version_;
    history_start_ = version_;
}

store_service::counted_response
store_service::execute(const http_request& request)
{
    const auto path = target_path(request);
    if (path == wire::transaction_path)
    {
        return {transact(request)};
    }
    if (path == wire::read_path)
    {
        return read_range(request);
    }
    if (path == wire::feed_path)
    {
        return wait_for_changes(request);
    }
    return {handle_object(request)};
}

http_response store_service::transact(const http_request& request)
{
    const auto body = parse_json(request.body());
    const std::lock_guard lock(mutex_);
    const auto name = [](const nlohmann::json& item)
    {
        return row_name{
            string_field(item, "table"), string_field(item, "part"),
            string_field(item, "key")};
    };
    for (const auto& item : body->at("expected_rev"))
    {
        if (version_of(name(item)) != item.at("ver").get<std::uint64_t>())
        {
            return json_response(
                412, {{"rows", nlohmann::json::array()}, {"ver", version_}});
        }
    }
    ++version_;
    for (const auto& item : body->at("writes"))
    {
        write(name(item), string_field(item, "value"), false);
    }
    for (const auto& item : body->at("remove"))
    {
        write(name(item), "", true);
    }
    changed_.notify_all();
    return json_response(200, {{"ver", version_}, {"now", "1ms"}});
}

store_service::counted_response
store_service::read_range(const http_request& request)
{
    const auto table = query_parameter(request, "table");
    const auto part = query_parameter(request, "part");
    const auto from = query_parameter(request, "from");
    const auto limit = parse_number(query_parameter(request, "limit"));
    const auto max_count = limit == 0 ? max_rows : std::min(max_rows, limit);
    auto rows = nlohmann::json::array();
    std::size_t bytes = 0;
    bool has_more = false;
    const std::lock_guard lock(mutex_);
    for (const auto& [name, stored] : rows_)
    {
        const auto& [row_table, row_part, key] = name;
        if (row_table != table || row_part != part || key < from ||
            stored.removed_)
        {
            continue;
        }
        bytes += stored.value_.size();
        if (rows.size() >= max_count || (bytes > max_bytes && !rows.empty()))
        {
            has_more = true;
            break;
        }
        rows.push_back(
            {{"table", table},
             {"part", part},
             {"key", key},
             {"value", stored.value_},
             {"ver", stored.version_}});
    }
    const auto count = rows.size();
    return {
        json_response(
            200, {{"rows", std::move(rows)},
                  {"has_more", has_more},
                  {"ver", version_},
                  {"now", "1ms"}}),
        count};
}

store_service::counted_response
store_service::wait_for_changes(const http_request& request)
{
    const auto table = query_parameter(request, "table");
    const auto after = parse_number(query_parameter(request, "after"));
    const std::chrono::milliseconds wait{
        parse_number(query_parameter(request, "wait_ms"))};
    std::unique_lock lock(mutex_);
    if (after < history_start_ || after > version_)
    {
        return {json_response(410, {{"error", "forgotten"}})};
    }
    auto rows = nlohmann::json::array();
    changed_.wait_for(
        lock, wait,
        [&]
        {
            rows = changes_after(table, after);
            return !rows.empty();
        });
    const auto count = rows.size();
    return {
        json_response(
            200,
            {{"rows", std::move(rows)}, {"ver", version_}, {"now", "1ms"}}),
        count};
}

nlohmann::json store_service::changes_after(
    const std::string& table, std::uint64_t version) const
{
    auto rows = nlohmann::json::array();
    const auto add = [&](const row_name& name, const row& stored)
    {
        if (std::get<0>(name) == table && stored.version_ > version)
        {
            rows.push_back(
                {{"table", table},
                 {"part", std::get<1>(name)},
                 {"key", std::get<2>(name)},
                 {"value", stored.value_},
                 {"deleted", stored.removed_},
                 {"ver", stored.version_}});
        }
    };
    if (keeps_each_change_)
    {
        for (const auto& [name, stored] : changes_)
        {
            add(name, stored);
        }
        return rows;
    }
    for (const auto& [name, stored] : rows_)
    {
        add(name, stored);
    }
    return rows;
}

http_response store_service::handle_object(const http_request& request)
{
    const std::lock_guard lock(mutex_);
    if (request.method() == http::verb::put)
    {
        objects_[object_name(request, wire::blob_put_path)] = request.body();
        return json_response(200, nlohmann::json::object());
    }
    if (request.method() == http::verb::delete_)
    {
        objects_.erase(object_name(request, wire::blob_remove_path));
        return json_response(200, nlohmann::json::object());
    }
    const auto found = objects_.find(object_name(request, wire::blob_get_path));
    if (found == objects_.end())
    {
        return json_response(404, {{"error", "absent"}});
    }
    http_response answer{http::status::ok, 11};
    answer.body() = found->second;
    answer.prepare_payload();
    return answer;
}

std::uint64_t store_service::version_of(const row_name& name) const
{
    const auto found = rows_.find(name);
    return found == rows_.end() || found->second.removed_
               ? 0
               : found->second.version_;
}

void store_service::write(
    const row_name& name, const std::string& value, bool removed)
{
    rows_[name] = {value, version_, removed};
    if (keeps_each_change_)
    {
        changes_.emplace_back(name, rows_[name]);
    }
}

} // namespace hemlockshelf
