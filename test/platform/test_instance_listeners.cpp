#include "platform/instance_listeners.hpp"

#include "hemlockshelf/core/real_clock.hpp"
#include "platform_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t readiness_port = 17011;
constexpr std::uint16_t instances_port = 17012;

/// Runs the listeners without a node.
struct fixture
{
    fixture()
        : listeners_(
              {own_address(readiness_port),
               own_address(instances_port),
               {service_name{"desk"}, endpoint{"127.0.0.1", 1}}},
              {context_, upstream_, snapshots_,
               [this]
               {
                   return ready_.load();
               },
               [this](const std::function<void()>& done)
               {
                   ++shares_;
                   if (others_answer_)
                   {
                       done();
                   }
               },
               [this](const std::function<void()>& done)
               {
                   ++stores_;
                   if (platform_answers_)
                   {
                       done();
                   }
               }}),
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

    static unsigned send_request(
        std::uint16_t port,
        boost::beast::http::verb verb,
        const char* path,
        const std::string& body = {})
    {
        const auto response = blocking_exchange(
            {own_address(port), {}}, make_request(verb, path, body));
        return response ? response->result_int() : 0;
    }

    static nlohmann::json make_heartbeat(const char* state, int sequence)
    {
        return {{"service", "desk"},    {"address", "127.0.0.1:1"},
                {"slot_count", 6},      {"state", state},
                {"sequence", sequence}, {"born", 1000}};
    }

    static unsigned
    send_heartbeat_of(const std::string& id, const nlohmann::json& body)
    {
        return send_request(
            instances_port, boost::beast::http::verb::post,
            ("/api/Instances.Heartbeat/" + id).c_str(), body.dump());
    }

    static unsigned send_heartbeat(const char* state, int sequence)
    {
        return send_heartbeat_of("i-1", make_heartbeat(state, sequence));
    }

    real_clock time_;
    local_upstream upstream_{time_, 6s};
    snapshot_store snapshots_;
    std::atomic<bool> ready_ = false;
    std::atomic<bool> others_answer_ = true;
    std::atomic<int> shares_ = 0;
    std::atomic<bool> platform_answers_ = true;
    std::atomic<int> stores_ = 0;
    boost::asio::io_context context_;
    instance_listeners listeners_;
    std::thread thread_;
};

} // namespace

// Guards against reporting a node as ready before it has a configuration, which
// would send it requests that it cannot route.
Test(instance_listeners, readiness_follows_the_node)
{
    fixture node;
    const auto check = []
    {
        return fixture::send_request(
            readiness_port, boost::beast::http::verb::get, "/api/ready");
    };
    cr_assert(check() == 503);
    node.ready_ = true;
    cr_assert(check() == 200);
}

// Guards against a delayed heartbeat that resets an instance from draining to
// ready.
Test(instance_listeners, takes_heartbeats_in_the_order_of_their_sequence)
{
    fixture node;
    cr_assert(fixture::send_heartbeat("ready", 4) == 200);
    cr_assert(node.upstream_.current()->slots_ == slot_count{6});
    cr_assert(fixture::send_heartbeat("draining", 6) == 200);
    cr_assert(fixture::send_heartbeat("ready", 5) == 200);
    cr_assert(node.upstream_.current()->draining_);
}

// Guards against sending calls to an instance that deregistered without
// draining first.
Test(instance_listeners, deregistration_drains_for_good)
{
    fixture node;
    fixture::send_heartbeat("ready", 4);
    cr_assert(
        fixture::send_request(
            instances_port, boost::beast::http::verb::post,
            "/api/Instances.Deregister/i-1") == 200);
    fixture::send_heartbeat("ready", 5);
    cr_assert(node.upstream_.current()->draining_);
}

// Guards against an acknowledged departure that ends with the process: before
// the answer, other nodes are to hold it.
Test(instance_listeners, what_leaves_is_shared_before_the_acknowledgement)
{
    fixture node;
    const auto deregister = []
    {
        return fixture::send_request(
            instances_port, boost::beast::http::verb::post,
            "/api/Instances.Deregister/i-1");
    };
    fixture::send_heartbeat("ready", 4);
    cr_assert(node.shares_ == 0);
    fixture::send_heartbeat("draining", 5);
    cr_assert(node.shares_ == 1);
    cr_assert(deregister() == 200);
    cr_assert(node.shares_ == 2);
    // Guards against an acknowledgement that comes too late for the instance,
    // which waits 1 s, because no other node answers.
    node.others_answer_ = false;
    const auto started = node.time_.now();
    cr_assert(deregister() == 200);
    cr_assert(node.time_.now() - started < 1s);
}

// Guards against a name that other nodes refuse in a record, with the records
// that are sent along with it.
Test(instance_listeners, refuses_a_deregistration_of_no_instance)
{
    fixture node;
    const auto deregister = [](const std::string& id)
    {
        return fixture::send_request(
            instances_port, boost::beast::http::verb::post,
            ("/api/Instances.Deregister/" + id).c_str());
    };
    cr_assert(deregister("") == 400);
    cr_assert(deregister(std::string(1025, 'i')) == 400);
    cr_assert(!node.upstream_.acknowledged());
    cr_assert(deregister(std::string(1024, 'i')) == 200);
}

Test(instance_listeners, refuses_what_is_no_heartbeat)
{
    fixture node;
    cr_assert(
        fixture::send_request(
            instances_port, boost::beast::http::verb::post,
            "/api/Instances.Heartbeat/i-1", "{") == 400);
    cr_assert(!node.upstream_.current());
    cr_assert(
        fixture::send_request(
            instances_port, boost::beast::http::verb::get, "/other") == 404);
}

// Guards against heartbeats of another sender that end the use of the instance,
// before its first one, after it and again and again.
Test(instance_listeners, heartbeats_of_others_leave_the_instance_in_use)
{
    fixture node;
    auto other_service = fixture::make_heartbeat("ready", 1);
    other_service["service"] = "not-a-service";
    other_service["born"] = 2000;
    auto other_address = fixture::make_heartbeat("draining", 1);
    other_address["address"] = "127.0.0.1:70000";
    other_address["born"] = 2000;
    auto future = fixture::make_heartbeat("ready", 1);
    future["born"] = std::uint64_t{1} << 62U;
    for (int sequence = 1; sequence < 4; ++sequence)
    {
        for (const auto& other : {other_service, other_address, future})
        {
            for (const auto* id : {"i-1", "i-odd"})
            {
                const auto status = fixture::send_heartbeat_of(id, other);
                cr_assert(status == 400 || status == 409);
            }
        }
        cr_assert(fixture::send_heartbeat("ready", sequence) == 200);
        const auto current = node.upstream_.current();
        cr_assert(current && !current->draining_);
        cr_assert(current->order_.instance_ == "i-1");
        cr_assert(current->address_ == "127.0.0.1:1");
    }
}

// Guards against an acknowledged heartbeat whose instance gets no work: another
// one is in use.
Test(instance_listeners, an_earlier_start_is_not_acknowledged)
{
    const fixture node;
    auto later = fixture::make_heartbeat("ready", 1);
    later["born"] = 2000;
    cr_assert(fixture::send_heartbeat_of("i-2", later) == 200);
    cr_assert(fixture::send_heartbeat("ready", 7) == 409);
    cr_assert(fixture::send_heartbeat_of("i-2", later) == 200);
}

// Guards against an acknowledged departure that ends with the processes of all
// nodes: without an answer of the platform there is no acknowledgement, also of
// a message that is sent again.
Test(instance_listeners, what_leaves_is_stored_before_the_acknowledgement)
{
    fixture node;
    node.platform_answers_ = false;
    fixture::send_heartbeat("ready", 4);
    cr_assert(node.stores_ == 0);
    const auto started = node.time_.now();
    cr_assert(fixture::send_heartbeat("draining", 5) == 503);
    cr_assert(node.time_.now() - started < 1s);
    cr_assert(fixture::send_heartbeat("draining", 5) == 503);
    // The instance gets no work meanwhile.
    cr_assert(node.upstream_.current()->draining_);
    const auto deregister = []
    {
        return fixture::send_request(
            instances_port, boost::beast::http::verb::post,
            "/api/Instances.Deregister/i-1");
    };
    cr_assert(deregister() == 503);
    node.platform_answers_ = true;
    cr_assert(fixture::send_heartbeat("draining", 5) == 200);
    cr_assert(fixture::send_heartbeat("draining", 6) == 200);
    cr_assert(deregister() == 200);
    cr_assert(node.stores_ == 6);
}
