#include "standins/platform/platform_service.hpp"

#include <thread>

#include "adapters/http/json_server.hpp"
#include "standins/platform/platform_handler.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

// Longer than the timeout of any client.
constexpr std::chrono::seconds default_silent_duration{60};
constexpr unsigned too_many_requests = 429;
constexpr unsigned service_unavailable = 503;
constexpr unsigned conflict_status = 409;

} // namespace

platform_service::platform_service(
    const clock& time, platform_capacity capacity)
    : time_(time), capacity_(capacity),
      write_limit_(capacity.writes_per_second_),
      read_limit_(capacity.reads_per_second_)
{}

http_response platform_service::handle(const http_request& request)
{
    const auto path = target_path(request);
    if (path == "/v1/faults" && request.method() == http::verb::post)
    {
        return set_fault(request);
    }
    if (path == "/v1/counters" && request.method() == http::verb::get)
    {
        return show_counters();
    }
    const bool is_write = request.method() != http::verb::get;
    const auto fault = faults_.draw();
    counters_.faults_ += fault.mode_ != fault_mode::ok ? 1 : 0;
    if (fault.mode_ == fault_mode::silent)
    {
        throw withheld_response(
            fault.delay_.count() > 0 ? fault.delay_ : default_silent_duration);
    }
    if (fault.mode_ == fault_mode::down)
    {
        return json_response(service_unavailable, {{"error", "down"}});
    }
    std::this_thread::sleep_for(
        capacity_.latency_ + (fault.mode_ == fault_mode::slow
                                  ? fault.delay_
                                  : std::chrono::milliseconds{0}));
    auto response = execute(request, is_write);
    if (fault.mode_ == fault_mode::lose_answers && is_write)
    {
        throw withheld_response(fault.delay_);
    }
    return response;
}

http_response platform_service::set_fault(const http_request& request)
{
    const auto json = parse_json(request.body());
    if (!json)
    {
        return error_response(json.error());
    }
    const auto plan = fault_plan_from_json(*json);
    if (!plan)
    {
        return error_response(plan.error());
    }
    faults_.set(*plan);
    return json_response(200, *json);
}

http_response platform_service::show_counters() const
{
    return json_response(
        200, {{"reads", counters_.reads_.load()},
              {"writes", counters_.writes_.load()},
              {"conflicts", counters_.conflicts_.load()},
              {"limited", counters_.limited_.load()},
              {"faults", counters_.faults_.load()},
              {"received_bytes", counters_.received_bytes_.load()},
              {"sent_bytes", counters_.sent_bytes_.load()}});
}

http_response
platform_service::execute(const http_request& request, bool is_write)
{
    auto& limit = is_write ? write_limit_ : read_limit_;
    if (!limit.try_take(time_.now()))
    {
        ++counters_.limited_;
        return json_response(too_many_requests, {{"error", "rate limit"}});
    }
    ++(is_write ? counters_.writes_ : counters_.reads_);
    auto response = handle_platform_request(tables_, request);
    counters_.conflicts_ += response.result_int() == conflict_status ? 1 : 0;
    counters_.received_bytes_ += request.body().size();
    counters_.sent_bytes_ += response.body().size();
    return response;
}

} // namespace hemlockshelf
