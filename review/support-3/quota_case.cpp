// A tenant's quota while the machines that grant it are cut off from all other
// machines of the system.
//
// Usage: quota_case ROOT RECORD TROUBLE

#include <array>
#include <cmath>

#include "mesh.hpp"

using namespace review;

namespace {

// The tenant's quota, and the bounds of the rule as the deployment has them.
constexpr double rate_per_s = 200;
constexpr double burst = 40;
constexpr double quota_window_s = 5;
constexpr double quota_overage = 0.1;
constexpr double quota_slack = 20;

constexpr std::size_t zones = 4;
constexpr std::size_t machines_per_zone = 2;
constexpr int clients_per_machine = 5;
// Requests a second of one client.
constexpr double client_rate = 16;

constexpr double settle_s = 6;
constexpr double cut_after_s = 6;
constexpr double cut_s = 12;
constexpr double after_s = 4;

struct sent_request
{
    double at_ = 0;
    int status_ = 0;
    std::string machine_;
};

class sent_log
{
public:
    void add(const std::string& id, sent_request request)
    {
        const std::lock_guard lock(mutex_);
        requests_[id] = std::move(request);
    }
    std::map<std::string, sent_request> all()
    {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

private:
    std::mutex mutex_;
    std::map<std::string, sent_request> requests_;
};

std::string configuration()
{
    const json document{
        {"version", "r7"},
        {"resources", json::array(
                          {{{"resource_type", "routes"},
                            {"metadata", {{"name", "r-archive"}}},
                            {"spec",
                             {{"host", "seismo.example"},
                              {"prefix", "/archive/"},
                              {"kind", "idempotent"},
                              {"timeout", "3000ms"},
                              {"target_latency", "800ms"},
                              {"priority", 2},
                              {"service", "archive"},
                              {"max_attempts", 2}}}},
                           {{"resource_type", "services"},
                            {"metadata", {{"name", "archive"}}},
                            {"spec",
                             {{"health_path", "/health"},
                              {"max_connections", 420},
                              {"protocol", "h1"},
                              {"tls", false}}}},
                           {{"resource_type", "tenants"},
                            {"metadata", {{"name", "county"}}},
                            {"spec",
                             {{"api_keys", json::array({"key-of-county"})},
                              {"rate_per_s", rate_per_s},
                              {"burst", burst},
                              {"priority", 1}}}}})}};
    return document.dump();
}

/// Sends requests of the tenant at a steady rate on a kept connection.
void run_client(const machine& where, int number, double until, sent_log& sent)
{
    descriptor connection;
    std::unique_ptr<reader> input;
    double next = seconds_now() + number / (client_rate * clients_per_machine);
    for (int count = 0; seconds_now() < until; ++count)
    {
        sleep_until(next);
        next = std::max(next + 1 / client_rate, seconds_now());
        if (!connection)
        {
            connection = connect_to(where.outbound());
            input = std::make_unique<reader>(connection.get());
        }
        const auto id = where.name_ + "-" + std::to_string(number) + "-" +
                        std::to_string(count);
        const auto at = seconds_now();
        send_all(
            connection.get(),
            "GET /archive/1 HTTP/1.1\r\nHost: seismo.example\r\n"
            "X-Request-Id: " +
                id +
                "\r\nX-Deadline-Ms: 3000\r\n"
                "Authorization: Bearer key-of-county\r\n\r\n");
        const auto answer = input->next(at + 3, true);
        sent.add(id, {at, answer ? answer->status() : 0, where.name_});
        if (!answer || answer->header("connection") == "close")
        {
            connection.reset();
        }
    }
}

struct excess
{
    double from_ = 0;
    std::size_t runs_ = 0;
};

/// The window with most requests that were sent and run in it.
excess find_fullest_window(
    const std::map<std::string, sent_request>& sent,
    const std::vector<run_entry>& runs)
{
    std::vector<std::pair<double, double>> spans;
    for (const auto& run : runs)
    {
        const auto found = sent.find(run.request_);
        if (found != sent.end() && run.tenant_ == "county")
        {
            spans.emplace_back(found->second.at_, run.at_);
        }
    }
    excess fullest;
    for (const auto& [from, ignored] : spans)
    {
        std::size_t count = 0;
        for (const auto& [sent_at, run_at] : spans)
        {
            count += sent_at >= from && run_at <= from + quota_window_s ? 1 : 0;
        }
        if (count > fullest.runs_)
        {
            fullest = {from, count};
        }
    }
    return fullest;
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
    std::set<std::string> to_cut;
    links network;
    for (unsigned zone = 1; zone <= zones; ++zone)
    {
        for (unsigned number = 1; number <= machines_per_zone; ++number)
        {
            machine where;
            where.name_ = "sidecar-z" + std::to_string(zone) + "-" +
                          std::to_string(number);
            where.zone_ = "z" + std::to_string(zone);
            where.region_ = zone <= zones / 2 ? "carpati" : "dobrogea";
            where.ip_ = block.ip(zone, number);
            where.relay_ip_ = block.ip(zone, 100 + number);
            where.service_ = "archive";
            where.link_mbps_ = number == 1 ? 140 : 100;
            network.relay({where.relay_ip_, 8300}, where.inbound());
            network.relay({where.relay_ip_, 7620}, {where.ip_, 7620});
            // 2 of 8 machines: share 0.25.
            if (number == 1 && zone <= 2)
            {
                to_cut.insert(where.ip_);
            }
            machines.push_back(where);
        }
    }
    const address store_address{block.ip(250, 1), 8309};
    store platform(store_address);
    platform.publish("config", configuration());
    run_log runs;
    std::vector<std::unique_ptr<instance>> instances;
    processes nodes(
        arguments[1], machines, store_address, {"5000ms", "5s", "0.1", "6s"});
    nodes.start_all();
    for (const auto& where : machines)
    {
        instances.push_back(std::make_unique<instance>(
            "i-" + where.name_, "archive", where.app(), where.control(),
            where.zone_, 0.02, runs));
    }
    if (!nodes.wait_until_ready(15))
    {
        out.line("not all nodes became ready");
        return 2;
    }
    out.line("all nodes are ready");
    sleep_seconds(settle_s);
    sent_log sent;
    const double begin = seconds_now();
    const double end = begin + cut_after_s + cut_s + after_s;
    std::vector<std::thread> clients;
    for (const auto& where : machines)
    {
        for (int number = 0; number < clients_per_machine; ++number)
        {
            clients.emplace_back(
                [&where, number, end, &sent]
                {
                    run_client(where, number, end, sent);
                });
        }
    }
    out.line("clients begin");
    sleep_until(begin + cut_after_s);
    if (trouble)
    {
        network.cut_off(to_cut);
        for (const auto& ip : to_cut)
        {
            out.line("machine %s is cut off from all others", ip.c_str());
        }
    }
    sleep_until(begin + cut_after_s + cut_s);
    network.cut_off({});
    out.line("no machine is cut off");
    for (auto& client : clients)
    {
        client.join();
    }
    const auto requests = sent.all();
    const auto all_runs = runs.all();
    std::map<int, std::size_t> answers;
    for (const auto& [id, request] : requests)
    {
        ++answers[request.status_];
    }
    for (const auto& [status, number] : answers)
    {
        out.line("answers with status %d: %zu", status, number);
    }
    for (double from = begin; from < end; from += 1)
    {
        std::size_t all = 0;
        std::size_t at_cut = 0;
        for (const auto& run : all_runs)
        {
            if (run.at_ >= from && run.at_ < from + 1)
            {
                ++all;
                const auto found = requests.find(run.request_);
                const auto where = std::ranges::find(
                    machines,
                    found == requests.end() ? "" : found->second.machine_,
                    &machine::name_);
                at_cut += where != machines.end() && to_cut.contains(where->ip_)
                              ? 1
                              : 0;
            }
        }
        out.line(
            "second from %.1f: %zu runs, %zu of them from the machines that "
            "are cut off in the trouble",
            from, all, at_cut);
    }
    const auto fullest = find_fullest_window(requests, all_runs);
    const double allowed =
        (rate_per_s * quota_window_s + burst) * (1 + quota_overage) +
        quota_slack;
    const bool broken = static_cast<double>(fullest.runs_) > allowed;
    out.line(
        "fullest window of %.0f s, from %.3f: %zu requests of the tenant were "
        "sent and run, allowed %.0f: %s",
        quota_window_s, fullest.from_, fullest.runs_, allowed,
        broken ? "QUOTA is broken" : "held");
    stopping = true;
    sleep_seconds(0.3);
    return broken ? 1 : 0;
}
