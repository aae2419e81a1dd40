#include "adapters/rpc/control_network.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/rpc/config_payload.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

/// Returns an address of this test's own, because tests run in parallel in
/// processes of their own.
endpoint own_address(int host)
{
    const auto process = static_cast<int>(::getpid());
    return {
        fmt::format(
            "127.61.{}.{}", 100 + process / 120 % 100,
            2 * (process % 120) + host),
        17003};
}

const endpoint server_address = own_address(1);
const endpoint client_address = own_address(2);

class recording_sink final : public metric_sink
{
public:
    void add(metric_id id, std::string_view label, double amount) override
    {
        const std::lock_guard lock(mutex_);
        totals_[{id, std::string(label)}] += amount;
    }

    void set(metric_id, std::string_view, double) override {}
    void observe(metric_id, std::string_view, double) override {}

    double total(metric_id id, const std::string& label)
    {
        const std::lock_guard lock(mutex_);
        return totals_[{id, label}];
    }

private:
    std::mutex mutex_;
    std::map<std::pair<metric_id, std::string>, double> totals_;
};

/// Answers with what the tests can tell apart.
class fixed_handler final : public control_handler
{
public:
    heartbeat_message on_heartbeat(const heartbeat_message& request) override
    {
        auto answer = request;
        answer.revision_ = revision{request.revision_.value() + 1};
        return answer;
    }

    revision on_push(push_message request) override
    {
        if (request.revision_ == revision{13})
        {
            throw std::runtime_error("refused by the test");
        }
        return revision{request.deltas_.size() + request.records_.size()};
    }

    config_answer on_fetch(const fetch_request& request) override
    {
        return {
            config_answer_kind::busy,
            {},
            std::chrono::milliseconds{request.from_.value()}};
    }

    digest_answer on_digest(const digest_request& request) override
    {
        return {request.digest_.at(3), {}};
    }

    void
    on_probe(const probe_request&, std::function<void(bool)> answer) override
    {
        answer(true);
    }
};

rpc_settings settings_for_node(const endpoint& listen, const char* domain)
{
    rpc_settings settings;
    settings.self_ = {
        vm_id{listen.address_}, failure_domain_id{domain}, region_id{"r"}};
    settings.listen_ = listen;
    settings.source_address_ = listen.address_;
    return settings;
}

/// A node that calls; each call waits for its answer.
struct caller
{
    recording_sink metrics_;
    fixed_handler handler_;
    control_network network_{
        settings_for_node(client_address, "a"), handler_, metrics_};

    caller()
    {
        network_.start();
    }

    ~caller()
    {
        network_.stop();
    }

    template <class Value, class Start>
    result<Value> wait_for(const Start& start)
    {
        auto answer = std::make_shared<std::promise<result<Value>>>();
        network_.post(
            [&start, answer]
            {
                start(
                    [answer](result<Value> value)
                    {
                        answer->set_value(std::move(value));
                    });
            });
        auto future = answer->get_future();
        cr_assert(
            future.wait_for(5s) == std::future_status::ready,
            "the call did not end by its deadline");
        return future.get();
    }

    result<heartbeat_message> heartbeat(std::chrono::milliseconds deadline)
    {
        const heartbeat_message message{
            {vm_id{"c"}, failure_domain_id{"a"}, region_id{"r"}},
            incarnation{1},
            revision{41},
            {},
            7};
        return wait_for<heartbeat_message>(
            [&](auto done)
            {
                network_.heartbeat(
                    {server_address, "domain"}, message, deadline, done);
            });
    }

    result<revision> push(const push_message& message)
    {
        return wait_for<revision>(
            [&](auto done)
            {
                network_.push({server_address, "domain"}, message, 2s, done);
            });
    }
};

struct server
{
    recording_sink metrics_;
    fixed_handler handler_;
    control_network network_{
        settings_for_node(server_address, "b"), handler_, metrics_};

    server()
    {
        network_.start();
    }

    ~server()
    {
        network_.stop();
    }
};

sockaddr_in to_raw(const endpoint& address)
{
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(address.port_);
    inet_pton(AF_INET, address.address_.c_str(), &raw.sin_addr);
    return raw;
}

/// A plain TCP peer that accepts connections and hands each to `serve`.
class raw_peer
{
public:
    explicit raw_peer(std::function<void(int)> serve)
        : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto raw = to_raw(server_address);
        const int bound = ::bind(
            listener_, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
        cr_assert(bound == 0);
        ::listen(listener_, 16);
        thread_ = std::thread(
            [this, serve = std::move(serve)]
            {
                for (int peer = 0;
                     (peer = ::accept(listener_, nullptr, nullptr)) >= 0;)
                {
                    ++accepted_;
                    serve(peer);
                    open_.push_back(peer);
                }
            });
    }

    ~raw_peer()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
        for (const int peer : open_)
        {
            ::close(peer);
        }
    }

    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    std::atomic<int> accepted_ = 0;

private:
    int listener_;
    std::vector<int> open_;
    std::thread thread_;
};

} // namespace

// Guards against fields that are lost between two nodes.
Test(control_network, messages_reach_the_other_node)
{
    const server other;
    caller self;
    const auto answer = self.heartbeat(2s);
    cr_assert(answer.has_value());
    cr_assert(answer->revision_ == revision{42});
    cr_assert(answer->membership_root_ == 7);

    digest_request digest{
        {vm_id{"c"}, failure_domain_id{"a"}, region_id{"r"}}, {}};
    digest.digest_.at(3) = 99;
    const auto differing = self.wait_for<digest_answer>(
        [&](auto done)
        {
            self.network_.member_digest(
                {server_address, "domain"}, digest, 2s, done);
        });
    cr_assert(differing->differing_ == 99);

    const auto config = self.wait_for<config_answer>(
        [&](auto done)
        {
            self.network_.fetch_config(
                {server_address, "domain"}, {digest.sender_, revision{250}}, 2s,
                done);
        });
    cr_assert(config->kind_ == config_answer_kind::busy);
    cr_assert(config->retry_after_ == 250ms);

    const auto reachable = self.wait_for<bool>(
        [&](auto done)
        {
            self.network_.probe(
                {server_address, "domain"}, {digest.sender_, vm_id{"x"}}, 2s,
                done);
        });
    cr_assert(reachable.value_or(false));
}

// Guards against a message larger than the buffers that is cut or stalls.
Test(control_network, a_large_push_arrives_whole)
{
    const server other;
    caller self;
    push_message message;
    message.sender_ = {vm_id{"c"}, failure_domain_id{"a"}, region_id{"r"}};
    message.origin_ = vm_id{"c"};
    std::mt19937 random(1);
    for (int index = 0; index < 1'000'000; ++index)
    {
        message.deltas_ += static_cast<char>(random());
    }
    const auto answer = self.push(message);
    cr_assert(answer.has_value());
    cr_assert(*answer == revision{1'000'000});
}

// Guards against an error in the handler that ends the process or the
// service.
Test(control_network, a_failing_handler_only_fails_its_call)
{
    const server other;
    caller self;
    push_message message;
    message.sender_ = {vm_id{"c"}, failure_domain_id{"a"}, region_id{"r"}};
    message.origin_ = vm_id{"c"};
    message.revision_ = revision{13};
    cr_assert_not(self.push(message).has_value());
    message.revision_ = revision{14};
    std::this_thread::sleep_for(300ms);
    cr_assert(self.push(message).has_value());
}

// Guards against control bytes that are not counted, or under a wrong scope.
Test(control_network, bytes_are_counted_by_scope_on_both_sides)
{
    server other;
    caller self;
    cr_assert(self.heartbeat(2s).has_value());
    const auto sent =
        self.metrics_.total(metric_id::control_sent_bytes, "domain");
    const auto received =
        other.metrics_.total(metric_id::control_received_bytes, "domain");
    cr_assert(sent > 0);
    cr_assert(received > 0);
    cr_assert(received <= sent);
    cr_assert(self.metrics_.total(metric_id::control_sent_bytes, "local") == 0);
}

// Guards against a call that waits forever on a peer that never answers, and
// against the silent connection being used again.
Test(control_network, a_silent_connection_is_replaced)
{
    caller self;
    {
        const raw_peer silent([](int) {});
        const auto answer = self.heartbeat(200ms);
        cr_assert(answer.error().kind_ == error_kind::deadline_exceeded);
        std::this_thread::sleep_for(300ms);
        cr_assert_not(self.heartbeat(200ms).has_value());
        cr_assert(silent.accepted_ == 2);
    }
    const server other;
    std::this_thread::sleep_for(500ms);
    cr_assert(self.heartbeat(2s).has_value());
}

// Guards against garbage from a peer that was called.
Test(control_network, garbage_in_an_answer_only_fails_the_call)
{
    caller self;
    const raw_peer noisy(
        [](int peer)
        {
            const std::string text(5000, 'x');
            ::send(peer, text.data(), text.size(), MSG_NOSIGNAL);
        });
    cr_assert_not(self.heartbeat(1s).has_value());
    cr_assert_not(self.heartbeat(1s).has_value());
}

// Guards against a peer that closes each connection at once.
Test(control_network, a_closed_connection_fails_the_call_before_its_deadline)
{
    caller self;
    const raw_peer closing(
        [](int peer)
        {
            ::shutdown(peer, SHUT_RDWR);
        });
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = self.heartbeat(3s);
    cr_assert(answer.error().kind_ == error_kind::unreachable);
    cr_assert(std::chrono::steady_clock::now() - begin < 2s);
}

// Guards against bad input on the listener that ends the process.
Test(control_network, garbage_on_the_listener_changes_nothing)
{
    const server other;
    cr_assert(rc::check(
        [](const std::string& garbage, bool compressed)
        {
            const int peer = ::socket(AF_INET, SOCK_STREAM, 0);
            const auto raw = to_raw(server_address);
            RC_ASSERT(
                ::connect(
                    peer, reinterpret_cast<const sockaddr*>(&raw),
                    sizeof(raw)) == 0);
            // The magic number of zstd leads garbage past the first check.
            const auto text =
                (compressed ? std::string("\x28\xb5\x2f\xfd", 4) : "") +
                garbage;
            ::send(peer, text.data(), text.size(), MSG_NOSIGNAL);
            ::close(peer);
        }));
    caller self;
    cr_assert(self.heartbeat(2s).has_value());
}

namespace {

push_message one_delta(std::uint64_t number)
{
    std::mt19937_64 random{number};
    accepted_delta accepted;
    accepted.delta_.to_ = revision{number};
    pool_row pool;
    pool.service_ = service_name{"catalogue"};
    pool.max_concurrent_calls_ = 100;
    accepted.delta_.changes_ = {
        {table_id::pools, row_key{"regie/measured"}, pool}};
    accepted.delta_.result_hash_ = content_hash{random(), random()};
    accepted.accepted_at_ = wall_time{std::chrono::milliseconds{
        1'796'368'000'000 + static_cast<std::int64_t>(number) * 733}};
    push_message message;
    message.sender_ = {
        vm_id{"order-desk-2"}, failure_domain_id{"salle-belair"},
        region_id{"quebec-centre"}};
    message.origin_ = vm_id{"order-desk-2"};
    message.duty_ = {push_scope::region, random(), {random(), random()}};
    message.revision_ = revision{number};
    message.deltas_ = encode_deltas({accepted});
    return message;
}

} // namespace

// Guards against a delta that costs its full size over a connection that has
// carried others: the stream has to find in them what it repeats. About 205
// bytes are what zstd makes of this delta alone.
Test(control_network, deltas_are_compressed_with_those_before)
{
    constexpr double compressed_alone = 205;
    constexpr std::uint64_t pushes = 8;
    const server remote;
    caller local;
    const auto sent = [&local]
    {
        return local.metrics_.total(metric_id::control_sent_bytes, "domain");
    };
    cr_assert(local.push(one_delta(1)).has_value());
    cr_assert(local.push(one_delta(2)).has_value());
    const auto before = sent();
    for (std::uint64_t number = 3; number < 3 + pushes; ++number)
    {
        cr_assert(local.push(one_delta(number)).has_value());
    }
    const auto bytes = (sent() - before) / pushes;
    cr_assert_lt(bytes, compressed_alone, "%f bytes a push", bytes);
}
