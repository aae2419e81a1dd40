#include "call_fixture.hpp"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "hemlockshelf/config/config_tables.hpp"

namespace hemlockshelf::test {

namespace {

constexpr auto loopback = "127.63.200.2";
constexpr std::chrono::seconds stop_timeout{5};

std::shared_ptr<const config_snapshot> make_snapshot(
    std::chrono::milliseconds timeout,
    std::chrono::milliseconds target_latency,
    std::uint32_t max_concurrent_calls)
{
    const row_key key{"regie/catalogue"};
    auto route = std::make_shared<route_row>();
    route->host_ = "catalogue.regie";
    route->pool_ = key;
    route->timeout_ = timeout;
    route->target_latency_ = target_latency;
    auto pool = std::make_shared<pool_row>();
    pool->service_ = service_name{"catalogue"};
    pool->max_concurrent_calls_ = max_concurrent_calls;
    config_tables tables;
    tables.routes_[key] = std::move(route);
    tables.pools_[key] = std::move(pool);
    return *config_snapshot::build(revision{1}, std::move(tables));
}

upstream_announcement announce(
    const endpoint& upstream, std::uint32_t slots, std::uint32_t connections)
{
    return {
        service_name{"catalogue"}, client_account_id{"regie"},
        to_string(upstream), slot_count{slots}, connection_count{connections}};
}

void stop(relay_listener& listener, session_group& group, call_threads& threads)
{
    listener.close();
    group.close_all();
    group.wait_for_sessions(std::chrono::steady_clock::now() + stop_timeout);
    threads.stop();
}

} // namespace

void recorded_gauges::set(
    metric_id metric, std::string_view /*label*/, double value)
{
    const std::lock_guard lock(mutex_);
    values_[metric] = value;
    ++writes_;
}

double recorded_gauges::value(metric_id metric) const
{
    const std::lock_guard lock(mutex_);
    const auto found = values_.find(metric);
    return found == values_.end() ? 0 : found->second;
}

std::size_t recorded_gauges::writes() const
{
    const std::lock_guard lock(mutex_);
    return writes_;
}

steady_time delayed_clock::now() const
{
    const auto delay = delay_.load();
    if (delay.count() > 0)
    {
        std::this_thread::sleep_for(delay);
    }
    return time_.now();
}

wall_time delayed_clock::wall_now() const
{
    return time_.wall_now();
}

fixed_router::fixed_router(std::vector<endpoint> gates)
    : gates_(std::move(gates))
{}

void fixed_router::call_started(
    const resolved_route& /*route*/, steady_time now)
{
    budgets_.earn({}, now);
}

result<gate_choice> fixed_router::choose(
    const resolved_route& /*route*/,
    std::span<const vm_id> tried,
    steady_time /*now*/)
{
    if (tried.size() >= gates_.size())
    {
        return make_error(error_kind::no_upstream, "every gate was tried");
    }
    const auto& gate = gates_[tried.size()];
    return gate_choice{vm_id{to_string(gate)}, gate};
}

void fixed_router::finish(
    const resolved_route& /*route*/,
    const vm_id& /*vm*/,
    const call_report& /*report*/,
    steady_time /*now*/)
{}

retry_decision fixed_router::decide_retry(
    const resolved_route& /*route*/,
    const failed_attempt& attempt,
    steady_time now)
{
    const std::lock_guard lock(mutex_);
    return budgets_.decide({}, attempt, now, random_);
}

call_settings test_settings()
{
    call_settings settings;
    settings.handshake_timeout_ = std::chrono::milliseconds{700};
    settings.silence_timeout_ = std::chrono::milliseconds{700};
    settings.first_byte_timeout_ = std::chrono::milliseconds{700};
    settings.progress_interval_ = std::chrono::milliseconds{50};
    settings.connect_timeout_ = std::chrono::seconds{5};
    return settings;
}

call_settings patient_settings()
{
    // Longer than the reads of `raw_connection`.
    constexpr std::chrono::seconds longest{10};
    auto settings = test_settings();
    settings.handshake_timeout_ = longest;
    settings.silence_timeout_ = longest;
    return settings;
}

entry_under_test::entry_under_test(
    std::vector<endpoint> gates,
    std::chrono::milliseconds timeout,
    std::uint32_t max_concurrent_calls,
    const call_settings& settings,
    std::chrono::milliseconds target_latency)
    : settings_(settings), router_(std::move(gates)), gates_(settings_),
      environment_{
          settings_,
          retry_,
          time_,
          snapshots_,
          router_,
          gates_,
          quota_,
          metrics_,
          group_,
          vm_id{"entry"},
          {},
          [this]
          {
              while (paused_)
              {
                  std::this_thread::sleep_for(std::chrono::milliseconds{1});
              }
              if (on_call_)
              {
                  on_call_();
              }
              return ready_.load();
          }},
      threads_(settings_.threads_),
      listener_(
          threads_,
          {loopback, 0},
          [this](http_connection::socket_type socket)
          {
              return std::make_shared<entry_session>(
                  std::move(socket), environment_);
          })
{
    snapshots_.advance(
        make_snapshot(timeout, target_latency, max_concurrent_calls));
    threads_.start();
}

entry_under_test::~entry_under_test()
{
    stop(listener_, group_, threads_);
    gates_.close_all();
}

endpoint entry_under_test::where() const
{
    return {loopback, listener_.port()};
}

std::string entry_under_test::call(const std::string& request) const
{
    raw_connection caller(where());
    caller.send(request);
    return caller.read_message();
}

gate_under_test::gate_under_test(
    const endpoint& upstream,
    std::uint32_t slots,
    std::uint32_t connections,
    const call_settings& settings,
    const gate_settings& limits)
    : settings_(settings), announced_(announce(upstream, slots, connections)),
      gate_(
          settings_,
          limits,
          time_,
          [this]
          {
              return announced();
          },
          metrics_),
      environment_{
          settings_,
          time_,
          gate_,
          [this](std::string_view)
          {
              return shed_is_not_run_.load();
          },
          metrics_,
          group_,
          {}},
      threads_(2), listener_(
                       threads_,
                       {loopback, 0},
                       [this](http_connection::socket_type socket)
                       {
                           return std::make_shared<gate_session>(
                               std::move(socket), environment_);
                       })
{
    threads_.start();
}

gate_under_test::~gate_under_test()
{
    stop(listener_, group_, threads_);
    gate_.close_idle();
}

endpoint gate_under_test::where() const
{
    return {loopback, listener_.port()};
}

void gate_under_test::announce_draining(bool draining)
{
    draining_ = draining;
    gate_.refresh();
}

upstream_announcement gate_under_test::announced() const
{
    auto announcement = announced_;
    announcement.draining_ = draining_;
    return announcement;
}

std::string caller_request(
    const std::string& method,
    const std::string& body,
    const std::string& fields)
{
    return method + " /silk HTTP/1.1\r\nHost: catalogue.regie\r\n" +
           "Hemlockshelf-Account: regie\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string gate_request_text(
    const std::string& method, const std::string& fields, unsigned deadline_ms)
{
    return method + " /silk HTTP/1.1\r\nHost: catalogue.regie\r\n" +
           "Hemlockshelf-Account: regie\r\nHemlockshelf-Request-Id: id-1\r\n" +
           "Hemlockshelf-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
           fields + "\r\n";
}

std::string header_of(const std::string& message, const std::string& name)
{
    const auto start = message.find("\r\n" + name + ": ");
    if (start == std::string::npos)
    {
        return {};
    }
    const auto from = start + name.size() + 4;
    return message.substr(from, message.find("\r\n", from) - from);
}

std::string head_to(const std::string& request, const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\nHemlockshelf-Request-Id: " +
           header_of(request, "Hemlockshelf-Request-Id") + "\r\n" + fields +
           "\r\n";
}

std::string answer_to(const std::string& request, const std::string& body)
{
    const auto length = std::to_string(body.size());
    return head_to(request, "Content-Length: " + length + "\r\n") + body;
}

} // namespace hemlockshelf::test
