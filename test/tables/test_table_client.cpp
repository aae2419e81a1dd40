#include "adapters/tables/table_client.hpp"

#include <map>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include "adapters/http/json_server.hpp"
#include "hemlockshelf/core/real_clock.hpp"
#include "standins/platform/platform_service.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds client_timeout{300};
constexpr std::uint16_t port = 7000;

/// Each test runs in a process of its own, so that its id gives an address
/// that no other test uses.
endpoint own_address()
{
    const auto id = static_cast<unsigned>(getpid());
    return {
        fmt::format("127.42.{}.{}", (id >> 8U) % 256, 1 + (id % 250)), port};
}

/// The stand-in, served on loopback, and a client of it.
struct fixture
{
    explicit fixture(platform_capacity capacity = {})
        : service_(time_, capacity),
          server_(
              context_,
              address_,
              4,
              [this](const http_request& request, const std::string&)
              {
                  return service_.handle(request);
              }),
          thread_(
              [this]
              {
                  context_.run();
              })
    {}

    ~fixture()
    {
        context_.stop();
        thread_.join();
    }

    void set_fault(const char* mode, std::int64_t delay_ms = 0)
    {
        const nlohmann::json body{{"mode", mode}, {"delay_ms", delay_ms}};
        const auto request = make_request(
            boost::beast::http::verb::post, "/v1/faults", body.dump());
        const auto answer = blocking_exchange({address_, {}}, request);
        cr_assert(answer.has_value());
        cr_assert(answer->result_int() == 200);
    }

    result<void> write(const char* key, std::uint64_t version)
    {
        return client_.commit(
            {{{"pools", key, row_version{version}}}, {{"pools", key, 1}}});
    }

    error_kind write_failure(const char* key, std::uint64_t version)
    {
        const auto written = write(key, version);
        cr_assert(!written.has_value());
        return written.error().kind_;
    }

    bool exists(const char* key)
    {
        const auto row = client_.read("pools", key);
        cr_assert(row.has_value());
        return row->has_value();
    }

    endpoint address_ = own_address();
    real_clock time_;
    boost::asio::io_context context_;
    platform_service service_;
    json_server server_;
    std::thread thread_;
    table_client client_{{address_, {}, client_timeout}};
};

} // namespace

// Guards against a client that does not speak the platform's protocol.
Test(table_client, rows_and_blobs_are_written_and_read)
{
    fixture under_test;
    cr_assert(under_test.write("regie/a b", 0).has_value());
    cr_assert(under_test.write_failure("regie/a b", 0) == error_kind::conflict);
    cr_assert(under_test.exists("regie/a b"));
    cr_assert(!under_test.exists("regie/c"));
    auto& client = under_test.client_;
    cr_assert(client.scan({"pools", "", "regie/", 10})->size() == 1);
    cr_assert(client.scan({"pools", "", "guild/", 10})->empty());
    cr_assert(client.put("snapshots/100", "text").has_value());
    cr_assert(*client.get("snapshots/100") == "text");
    cr_assert(!client.get("snapshots/200")->has_value());
    cr_assert(client.remove("snapshots/100").has_value());
    cr_assert(!client.get("snapshots/100")->has_value());
    cr_assert(client.remove("snapshots/100").has_value());
}

// Guards against a refusal that is taken for a lost answer.
Test(table_client, a_refusal_is_certain)
{
    fixture under_test;
    under_test.set_fault("down");
    cr_assert(
        under_test.write_failure("regie/a", 0) ==
        error_kind::platform_unavailable);
    under_test.set_fault("ok");
    cr_assert(!under_test.exists("regie/a"));
    table_client nowhere({{"127.42.0.251", 1}, {}, client_timeout});
    cr_assert(
        nowhere.commit({}).error().kind_ == error_kind::platform_unavailable);
}

// Guards against a write beyond the platform's capacity that is executed or
// taken for a lost answer.
Test(table_client, a_write_beyond_the_capacity_is_refused)
{
    // The burst of a quarter of a second is one write.
    fixture under_test({4, 2000, milliseconds{0}});
    cr_assert(under_test.write("regie/a", 0).has_value());
    cr_assert(
        under_test.write_failure("regie/b", 0) == error_kind::rate_limited);
    cr_assert(!under_test.exists("regie/b"));
}

// Guards against a rate limit whose time to wait is lost or made up.
Test(table_client, a_rate_limit_names_the_time_to_wait)
{
    const std::map<std::string, milliseconds> waits{
        {"2", milliseconds{2000}},
        {"", milliseconds{0}},
        {"-1", milliseconds{0}},
        {"Fri, 04 Dec 2026 07:00:00 GMT", milliseconds{0}},
        {"99999999999999999999", milliseconds{0}}};
    const auto address = own_address();
    boost::asio::io_context context;
    std::string named;
    json_server server(
        context, address, 1,
        [&named](const http_request&, const std::string&)
        {
            auto answer = json_response(429, {{"error", "rate limit"}});
            answer.set(boost::beast::http::field::retry_after, named);
            return answer;
        });
    std::thread thread(
        [&context]
        {
            context.run();
        });
    table_client client({address, {}, client_timeout});
    for (const auto& [text, wait] : waits)
    {
        named = text;
        for (const auto& failure :
             {client.commit({}).error(), client.read("pools", "a").error()})
        {
            cr_expect(failure.kind_ == error_kind::rate_limited);
            cr_expect(client.retry_after() == wait, "%s", text.c_str());
        }
    }
    context.stop();
    thread.join();
}

// Guards against a lost answer that is taken for a refusal.
Test(table_client, a_lost_answer_is_an_unknown_outcome)
{
    fixture under_test;
    under_test.set_fault("lose_answers");
    cr_assert(
        under_test.write_failure("regie/a", 0) == error_kind::outcome_unknown);
    cr_assert(under_test.exists("regie/a"));
}

// Guards against a client that waits for a silent or slow platform without a
// bound.
Test(table_client, silence_ends_with_the_timeout)
{
    constexpr milliseconds fault_delay{3000};
    fixture under_test;
    for (const auto* mode : {"silent", "slow"})
    {
        under_test.set_fault(mode, fault_delay.count());
        const auto before = std::chrono::steady_clock::now();
        cr_assert(
            under_test.write_failure("regie/a", 0) ==
            error_kind::outcome_unknown);
        cr_assert(
            under_test.client_.read("pools", "regie/a").error().kind_ ==
            error_kind::platform_unavailable);
        const auto taken = std::chrono::steady_clock::now() - before;
        cr_assert(taken >= 2 * client_timeout);
        cr_assert(taken < fault_delay);
    }
}
