// Clients leave while their uploads wait for the answer of a frozen machine:
// what nobody waits for any more must not reach an instance.
//
// Usage: gone_case ROOT RECORD TROUBLE

#include "mesh.hpp"

using namespace review;

namespace {

// One frozen machine of ten is a share of 0.1.
constexpr unsigned machines_per_zone = 5;
constexpr int slots = 6;
constexpr double work_s = 0.14;
// Uploads a second over all machines; the instances do 400.
constexpr double usual_rate = 150;
constexpr int freezes = 6;
constexpr double freeze_s = 4;
constexpr double freeze_gap_s = 8;
constexpr double contact_s = 3;
constexpr double deadline_s = 2;
// Clients leave within half of the objective of 800 ms.
constexpr double leave_within_s = 0.4;
constexpr double share_that_leaves = 0.3;
constexpr std::size_t body_bytes = 60'000;
constexpr double late_s = 0.5;
constexpr std::size_t a_few = 5;

struct upload
{
    double sent_at_ = 0;
    /// 0 if the client has not left.
    double left_at_ = 0;
    int status_ = 0;
    std::string machine_;
};

class upload_log
{
public:
    void add(const std::string& id, upload entry)
    {
        const std::lock_guard lock(mutex_);
        uploads_[id] = std::move(entry);
    }
    std::map<std::string, upload> all()
    {
        const std::lock_guard lock(mutex_);
        return uploads_;
    }

private:
    std::mutex mutex_;
    std::map<std::string, upload> uploads_;
};

std::string configuration()
{
    return json{
        {"version", "r7"},
        {"resources", json::array(
                          {{{"resource_type", "routes"},
                            {"metadata", {{"name", "r-upload"}}},
                            {"spec",
                             {{"host", "guild.example"},
                              {"prefix", "/photos/"},
                              {"kind", "upload"},
                              {"timeout", "2000ms"},
                              {"target_latency", "800ms"},
                              {"priority", 1},
                              {"service", "inspections"},
                              {"max_attempts", 2}}}},
                           {{"resource_type", "services"},
                            {"metadata", {{"name", "inspections"}}},
                            {"spec",
                             {{"health_path", "/health"},
                              {"max_connections", 120},
                              {"protocol", "h1"},
                              {"tls", false}}}}})}}
        .dump();
}

void send_upload(
    const machine& where,
    const std::string& id,
    double leave_after_s,
    upload_log& log)
{
    upload entry{seconds_now(), 0, 0, where.name_};
    const auto connection = connect_to(where.outbound());
    if (!connection)
    {
        log.add(id, entry);
        return;
    }
    const timeval limit{0, 10'000};
    ::setsockopt(
        connection.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    send_all(
        connection.get(),
        "POST /photos/1 HTTP/1.1\r\nHost: guild.example\r\nX-Request-Id: " +
            id + "\r\nX-Deadline-Ms: 2000\r\nContent-Length: " +
            std::to_string(body_bytes) + "\r\n\r\n" +
            std::string(body_bytes, 'x'));
    reader input(connection.get());
    const auto read = input.next(
        entry.sent_at_ + (leave_after_s > 0 ? leave_after_s : deadline_s),
        true);
    entry.status_ = read ? read->status() : 0;
    entry.left_at_ = leave_after_s > 0 && !read ? seconds_now() : 0;
    log.add(id, entry);
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
            where.region_ = "west-prov";
            where.ip_ = block.ip(zone, number);
            where.relay_ip_ = block.ip(zone, 100 + number);
            where.service_ = "inspections";
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
            where.zone_, work_s, runs, slots));
    }
    if (!nodes.wait_until_ready(15))
    {
        out.line("not all nodes became ready");
        return 2;
    }
    sleep_seconds(8);
    upload_log uploads;
    std::vector<std::thread> clients;
    std::mt19937 random(7);
    const double begin = seconds_now();
    const double end = begin + freezes * freeze_gap_s + 2;
    // When each machine woke up again; it is in touch `contact` after that.
    std::map<std::string, std::pair<double, double>> frozen;
    std::thread freezer(
        [&]
        {
            for (int round = 0; trouble && round < freezes; ++round)
            {
                sleep_until(begin + 2 + round * freeze_gap_s);
                const auto& where = machines.at(
                    static_cast<std::size_t>(round) * 3 % machines.size());
                const auto from = seconds_now();
                out.line("%s freezes", where.name_.c_str());
                nodes.send_signal(where, SIGSTOP);
                sleep_seconds(freeze_s);
                nodes.send_signal(where, SIGCONT);
                out.line("%s wakes up", where.name_.c_str());
                frozen[where.name_] = {from, seconds_now() + contact_s};
            }
        });
    int number = 0;
    for (double next = begin; next < end; ++number)
    {
        sleep_until(next);
        const bool leaves = trouble && std::uniform_real_distribution<>(0, 1)(
                                           random) < share_that_leaves;
        const double leave_after =
            leaves
                ? std::uniform_real_distribution<>(0.02, leave_within_s)(random)
                : 0;
        const auto& where =
            machines.at(static_cast<std::size_t>(number) % machines.size());
        clients.emplace_back(
            [&where, id = "up-" + std::to_string(number), leave_after, &uploads]
            {
                send_upload(where, id, leave_after, uploads);
            });
        next += 1 / usual_rate;
    }
    freezer.join();
    for (auto& client : clients)
    {
        client.join();
    }
    sleep_seconds(2.5);
    const auto sent = uploads.all();
    std::map<int, std::size_t> answers;
    std::size_t left = 0;
    for (const auto& [id, entry] : sent)
    {
        ++answers[entry.status_];
        left += entry.left_at_ > 0 ? 1 : 0;
    }
    for (const auto& [status, total] : answers)
    {
        out.line("answers with status %d: %zu", status, total);
    }
    std::size_t late = 0;
    for (const auto& run : runs.all())
    {
        const auto found = sent.find(run.request_);
        if (found == sent.end() || found->second.left_at_ == 0)
        {
            continue;
        }
        const auto own = frozen.find(found->second.machine_);
        if (own != frozen.end() && run.at_ >= own->second.first &&
            found->second.sent_at_ <= own->second.second)
        {
            continue;
        }
        const auto delay = run.at_ - found->second.left_at_;
        out.line(
            "%s sent at %.3f to %s, its client left at %.3f, %s ran it at "
            "%.3f: %.3f s later",
            run.request_.c_str(), found->second.sent_at_,
            found->second.machine_.c_str(), found->second.left_at_,
            run.instance_.c_str(), run.at_, delay);
        late += delay > late_s ? 1 : 0;
    }
    const bool broken = late > a_few;
    out.line(
        "%zu of %zu uploads whose client had left reached an instance more "
        "than %.1f s later: %s",
        late, left, late_s, broken ? "GONE is broken" : "held");
    stopping = true;
    sleep_seconds(0.3);
    return broken ? 1 : 0;
}
