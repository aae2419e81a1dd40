// The store comes back from a copy that is some seconds old, and the operator
// goes on: a version that the store acknowledges must come into force.
//
// Usage: drill_case ROOT RECORD TROUBLE [MACHINES_PER_ZONE, 2 if left out]

#include "mesh.hpp"

using namespace review;

namespace {

constexpr double config_apply_s = 2.5;
constexpr double contact_s = 3;
// An unstable store stretches the bound of a configuration by this at most.
constexpr double max_skew_s = 5;
constexpr double away_s = 0.5;
constexpr double watched_s = 20;

std::string configuration(int version, const std::string& service, int timeout)
{
    const auto pool = [](const char* name)
    {
        return json{
            {"resource_type", "services"},
            {"metadata", {{"name", name}}},
            {"spec",
             {{"health_path", "/health"},
              {"max_connections", 120},
              {"protocol", "h1"},
              {"tls", false}}}};
    };
    const json route{
        {"resource_type", "routes"},
        {"metadata", {{"name", "r-post"}}},
        {"spec",
         {{"host", "guild.example"},
          {"prefix", "/post/"},
          {"kind", "idempotent"},
          {"timeout", std::to_string(timeout) + "ms"},
          {"target_latency", "500ms"},
          {"priority", 1},
          {"service", service},
          {"max_attempts", 2}}}};
    return json{
        {"version", "r" + std::to_string(version)},
        {"resources", json::array({route, pool("ledger"), pool("archive")})}}
        .dump();
}

struct answer
{
    double sent_at_ = 0;
    std::string machine_;
    int status_ = 0;
    std::string body_;
};

answer ask(const machine& where, int count)
{
    answer result{seconds_now(), where.name_, 0, {}};
    const auto connection = connect_to(where.outbound());
    if (!connection)
    {
        return result;
    }
    send_all(
        connection.get(),
        "GET /post/1 HTTP/1.1\r\nHost: guild.example\r\nX-Request-Id: " +
            where.name_ + "-" + std::to_string(count) +
            "\r\nX-Deadline-Ms: 1000\r\n\r\n");
    reader input(connection.get());
    if (const auto read = input.next(seconds_now() + 1, true))
    {
        result.status_ = read->status();
        result.body_ = read->body_;
    }
    return result;
}

} // namespace

int main(int count, char** arguments)
{
    if (count < 4)
    {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const bool trouble = std::string_view(arguments[3]) != "0";
    const unsigned per_zone =
        count > 4 ? static_cast<unsigned>(std::atoi(arguments[4])) : 2;
    record out(arguments[2]);
    const address_block block;
    std::vector<machine> machines;
    links network;
    for (unsigned zone = 1; zone <= 2; ++zone)
    {
        for (unsigned number = 1; number <= per_zone; ++number)
        {
            machine where;
            where.name_ = "sidecar-z" + std::to_string(zone) + "-" +
                          std::to_string(number);
            where.zone_ = "z" + std::to_string(zone);
            where.region_ = "west-prov";
            where.ip_ = block.ip(zone, number);
            where.relay_ip_ = block.ip(zone, 100 + number);
            where.service_ = number % 2 == 1 ? "ledger" : "archive";
            network.relay({where.relay_ip_, 8300}, where.inbound());
            network.relay({where.relay_ip_, 7620}, {where.ip_, 7620});
            machines.push_back(where);
        }
    }
    const address store_address{block.ip(250, 1), 8309};
    store platform(store_address);
    platform.publish("config", configuration(7, "ledger", 900));
    run_log runs;
    std::vector<std::unique_ptr<instance>> instances;
    processes nodes(arguments[1], machines, store_address, {});
    nodes.start_all();
    for (const auto& where : machines)
    {
        instances.push_back(std::make_unique<instance>(
            "i-" + where.name_, where.service_, where.app(), where.control(),
            where.zone_, 0.02, runs));
    }
    if (!nodes.wait_until_ready(15))
    {
        out.line("not all nodes became ready");
        return 2;
    }
    sleep_seconds(6);
    const auto older = platform.take_copy();
    out.line("the copy has version %llu", (unsigned long long)older.version_);
    sleep_seconds(0.3);
    platform.publish("config", configuration(8, "ledger", 901));
    sleep_seconds(0.3);
    const auto last =
        platform.publish("config", configuration(9, "ledger", 902));
    out.line("r9 acknowledged as version %llu", (unsigned long long)last);
    sleep_seconds(2.5);
    if (trouble)
    {
        platform.go_away();
        out.line("the store is away");
        sleep_seconds(away_s);
        platform.come_back_from(older);
        out.line("the store is back from the copy");
    }
    const double back_at = seconds_now();
    sleep_seconds(0.05);
    if (trouble)
    {
        const auto again =
            platform.publish("config", configuration(9, "ledger", 902));
        out.line(
            "the operator writes r9 again: version %llu",
            (unsigned long long)again);
    }
    sleep_seconds(0.3);
    const auto moved =
        platform.publish("config", configuration(14, "archive", 903));
    const double acknowledged_at = seconds_now();
    out.line(
        "r14, which moves the route to archive, acknowledged as version %llu",
        (unsigned long long)moved);
    const double binding =
        std::max(acknowledged_at + config_apply_s, back_at + contact_s) +
        max_skew_s;
    std::size_t old_answers = 0;
    std::size_t new_answers = 0;
    std::size_t other = 0;
    int number = 0;
    while (seconds_now() < binding + watched_s)
    {
        for (const auto& where : machines)
        {
            const auto result = ask(where, ++number);
            const bool binds = result.sent_at_ > binding;
            if (result.body_ == "done by ledger")
            {
                old_answers += binds ? 1 : 0;
            }
            else if (result.body_ == "done by archive")
            {
                new_answers += binds ? 1 : 0;
            }
            else
            {
                other += binds ? 1 : 0;
            }
            out.line(
                "sent at %.3f to %s: %d %s%s", result.sent_at_,
                result.machine_.c_str(), result.status_, result.body_.c_str(),
                binds ? "" : " (not bound yet)");
        }
        sleep_seconds(0.25);
    }
    const bool broken = old_answers > 0;
    out.line(
        "requests sent more than %.1f s after the ack: %zu run by the old "
        "service, %zu by the new one, %zu others: %s",
        binding - acknowledged_at, old_answers, new_answers, other,
        broken ? "CONFIG is broken" : "held");
    stopping = true;
    sleep_seconds(0.3);
    return broken ? 1 : 0;
}
