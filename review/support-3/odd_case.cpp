// A check-in of another writer, whose field `born` is missing, names no
// instance to use or to leave: the others hold.
//
// Usage: odd_case ROOT RECORD TROUBLE

#include "mesh.hpp"

using namespace review;

namespace {

constexpr unsigned machines_per_zone = 2;
constexpr double work_s = 0.06;
constexpr double watched_s = 30;

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

/// Sends a check-in in which `born` is missing. Returns the status.
int send_odd_check_in(const machine& where, const std::string& id)
{
    const json body{
        {"service", where.service_}, {"address", to_string(where.app())},
        {"zone", where.zone_},       {"version", "v1"},
        {"slot_count", 18},          {"state", "draining"},
        {"cold_remaining", "0ms"},   {"sequence", 1}};
    const auto text = body.dump();
    const auto connection = connect_to(where.control());
    if (!connection)
    {
        return 0;
    }
    send_all(
        connection.get(),
        "POST /api/Instances.Heartbeat/" + id +
            " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
            "Content-Length: " +
            std::to_string(text.size()) + "\r\n\r\n" + text);
    reader input(connection.get());
    const auto answer = input.next(seconds_now() + 2, true);
    return answer ? answer->status() : 0;
}

int place_order(const machine& where, int number)
{
    const auto connection = connect_to(where.outbound());
    if (!connection)
    {
        return 0;
    }
    send_all(
        connection.get(),
        "POST /order/1 HTTP/1.1\r\nHost: regie.example\r\nX-Request-Id: "
        "order-" +
            std::to_string(number) +
            "\r\nX-Deadline-Ms: 800\r\nContent-Length: 5\r\n\r\norder");
    reader input(connection.get());
    const auto answer = input.next(seconds_now() + 1, true);
    return answer ? answer->status() : 0;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 4)
    {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const bool trouble = std::string_view(arguments[3]) != "0";
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
        instances.push_back(std::make_unique<instance>(
            "i-" + where.name_, where.service_, where.app(), where.control(),
            where.zone_, work_s, runs));
    }
    if (!nodes.wait_until_ready(15))
    {
        out.line("not all nodes became ready");
        return 2;
    }
    sleep_seconds(6);
    for (std::size_t index = 0; trouble && index < machines.size(); ++index)
    {
        out.line(
            "a check-in without born names %s: answered %d",
            instances[index]->id().c_str(),
            send_odd_check_in(machines[index], instances[index]->id()));
    }
    sleep_seconds(1);
    std::size_t served = 0;
    std::size_t placed = 0;
    std::map<int, std::size_t> statuses;
    const double end = seconds_now() + watched_s;
    while (seconds_now() < end)
    {
        const auto& where = machines.at(placed % machines.size());
        const int status = place_order(where, static_cast<int>(placed));
        out.line("order %zu at %s: %d", placed, where.name_.c_str(), status);
        ++statuses[status];
        ++placed;
        served += status == 200 ? 1 : 0;
        sleep_seconds(0.1);
    }
    for (const auto& [status, total] : statuses)
    {
        out.line("answers with status %d: %zu", status, total);
    }
    const bool broken = served == 0;
    out.line(
        "%zu of %zu orders were served in %.0f s: %s", served, placed,
        watched_s, broken ? "no request is served" : "held");
    stopping = true;
    sleep_seconds(0.3);
    return broken ? 1 : 0;
}
