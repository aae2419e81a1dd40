// Faulty instances send additional bytes after complete answers, late, where
// the next answer is expected. They belong to no request: a 421 as the wire
// page shows it proves nothing about the next request, and a copy of the last
// answer that names no request is not the answer to the next one.
//
// Usage: extra_case ROOT RECORD TROUBLE misdirected|copy

#include "mesh.hpp"

using namespace review;

namespace {

constexpr unsigned machines_per_zone = 2;
// 2 of 4 instances spoil 0.02 of their answers.
constexpr double spoiled_share = 0.02;
constexpr double garble_s = 5;
constexpr int rounds = 4;
constexpr double round_gap_s = 8;
constexpr double work_s = 0.06;
constexpr int clients_per_machine = 6;

std::atomic<bool> garbles{false};
bool sends_copy = false;
std::mutex runs_mutex;
std::map<std::string, std::vector<std::string>> runs_of;

std::string configuration()
{
    return json{
        {"version", "r7"},
        {"resources", json::array(
                          {{{"resource_type", "routes"},
                            {"metadata", {{"name", "r-order"}}},
                            {"spec",
                             {{"host", "regie.example"},
                              {"prefix", "/order/"},
                              {"kind", "non_idempotent"},
                              {"timeout", "800ms"},
                              {"target_latency", "300ms"},
                              {"priority", 1},
                              {"service", "guichet"},
                              {"max_attempts", 2}}}},
                           {{"resource_type", "services"},
                            {"metadata", {{"name", "guichet"}}},
                            {"spec",
                             {{"health_path", "/health"},
                              {"max_connections", 110},
                              {"protocol", "h1"},
                              {"tls", false}}}}})}}
        .dump();
}

/// Runs the request and answers it. A faulty instance writes the additional
/// bytes of an earlier answer first.
bool answer(
    descriptor& connection,
    const message& request,
    const instance& own,
    bool is_faulty,
    record& out)
{
    // One thread serves one connection.
    thread_local bool owes_extra = false;
    thread_local std::string last;
    thread_local std::mt19937 random{std::random_device{}()};
    const auto id = request.header("x-request-id");
    if (std::exchange(owes_extra, false))
    {
        out.line(
            "%s sends a %s that belongs to no request, then runs %s",
            own.id().c_str(), sends_copy ? "copy" : "421", id.c_str());
        send_all(
            connection.get(),
            sends_copy
                ? response_text(
                      200, "done " + last,
                      "X-Response-Signature: s." + last + "\r\n")
                : response_text(421, "", "X-Instance-Id: i-02d9e6b4\r\n"));
    }
    {
        const std::lock_guard lock(runs_mutex);
        runs_of[id].push_back(own.id());
    }
    sleep_seconds(work_s);
    last = id;
    owes_extra = is_faulty && garbles &&
                 std::uniform_real_distribution<>(0, 1)(random) < spoiled_share;
    return send_all(
        connection.get(),
        response_text(
            200, "done " + id,
            "X-Request-Id: " + id + "\r\nX-Response-Signature: s." + id +
                "\r\n"));
}

struct order
{
    int status_ = 0;
    std::string body_;
};

std::mutex orders_mutex;
std::map<std::string, order> orders;

/// Places one order after the other, each on a connection of its own.
void run_client(const machine& where, int number, double until)
{
    for (int count = 0; seconds_now() < until; ++count)
    {
        const auto id = where.name_ + "-" + std::to_string(number) + "-" +
                        std::to_string(count);
        order placed;
        const auto connection = connect_to(where.outbound());
        const std::string body(300, 'x');
        if (connection)
        {
            send_all(
                connection.get(),
                "POST /order/1 HTTP/1.1\r\nHost: regie.example\r\n"
                "X-Request-Id: " +
                    id +
                    "\r\nX-Deadline-Ms: 800\r\nContent-Length: 300\r\n\r\n" +
                    body);
            reader input(connection.get());
            if (const auto read = input.next(seconds_now() + 1, true))
            {
                placed = {read->status(), read->body_};
            }
        }
        {
            const std::lock_guard lock(orders_mutex);
            orders[id] = placed;
        }
        sleep_seconds(0.02);
    }
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 5)
    {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const bool trouble = std::string_view(arguments[3]) != "0";
    sends_copy = std::string_view(arguments[4]) == "copy";
    record out(arguments[2]);
    const address_block block;
    std::vector<machine> machines;
    links network;
    for (unsigned zone = 1; zone <= 2; ++zone)
    {
        for (unsigned number = 1; number <= machines_per_zone; ++number)
        {
            machine where;
            where.name_ = "sidecar-z" + std::to_string(zone) + "-" +
                          std::to_string(number);
            where.zone_ = "z" + std::to_string(zone);
            where.region_ = "quebec-centre";
            where.ip_ = block.ip(zone, number);
            where.relay_ip_ = block.ip(zone, 100 + number);
            where.service_ = "guichet";
            where.link_mbps_ = 1000;
            network.relay({where.relay_ip_, 8300}, where.inbound());
            network.relay({where.relay_ip_, 7620}, {where.ip_, 7620});
            machines.push_back(where);
        }
    }
    const address store_address{block.ip(250, 1), 8309};
    store platform(store_address);
    platform.publish("config", configuration());
    run_log runs;
    std::vector<std::unique_ptr<instance>> instances;
    processes nodes(arguments[1], machines, store_address, {});
    nodes.start_all();
    for (const auto& where : machines)
    {
        const bool is_faulty = instances.size() % 2 == 0;
        instances.push_back(std::make_unique<instance>(
            "i-" + where.name_, where.service_, where.app(), where.control(),
            where.zone_, work_s, runs, 18,
            [is_faulty, &out](
                descriptor& connection, const message& request,
                const instance& own)
            {
                return answer(connection, request, own, is_faulty, out);
            }));
    }
    if (!nodes.wait_until_ready(15))
    {
        out.line("not all nodes became ready");
        return 2;
    }
    sleep_seconds(6);
    const double begin = seconds_now();
    const double end = begin + rounds * round_gap_s;
    std::vector<std::thread> clients;
    for (const auto& where : machines)
    {
        for (int number = 0; number < clients_per_machine; ++number)
        {
            clients.emplace_back(
                [&where, number, end]
                {
                    run_client(where, number, end);
                });
        }
    }
    for (int round = 0; round < rounds; ++round)
    {
        sleep_until(begin + 1 + round * round_gap_s);
        garbles = trouble;
        sleep_seconds(garble_s);
        garbles = false;
    }
    for (auto& client : clients)
    {
        client.join();
    }
    sleep_seconds(1);
    std::map<int, std::size_t> statuses;
    std::size_t twice = 0;
    std::size_t refused = 0;
    std::size_t foreign = 0;
    for (const auto& [id, placed] : orders)
    {
        ++statuses[placed.status_];
        const auto& by = runs_of[id];
        if (by.size() > 1)
        {
            ++twice;
            out.line(
                "order %s: run %zu times, by %s and %s; answered %d",
                id.c_str(), by.size(), by[0].c_str(), by[1].c_str(),
                placed.status_);
        }
        if (!by.empty() && (placed.status_ == 503 || placed.status_ == 429 ||
                            placed.status_ == 421 || placed.status_ == 408))
        {
            ++refused;
            out.line(
                "order %s: run, and answered %d", id.c_str(), placed.status_);
        }
    }
    for (const auto& [id, placed] : orders)
    {
        if (placed.status_ == 200 && placed.body_ != "done " + id)
        {
            ++foreign;
            out.line(
                "order %s: answered 200 with \"%s\"", id.c_str(),
                placed.body_.c_str());
        }
    }
    for (const auto& [status, total] : statuses)
    {
        out.line("answers with status %d: %zu", status, total);
    }
    const bool broken = twice > 0 || refused > 0 || foreign > 0;
    out.line(
        "of %zu orders, %zu were run more than once (TWICE), %zu were run and "
        "answered as not run (REFUSED), %zu got the answer of another one "
        "(MIXED): %s",
        orders.size(), twice, refused, foreign, broken ? "broken" : "held");
    stopping = true;
    sleep_seconds(0.3);
    return broken ? 1 : 0;
}
