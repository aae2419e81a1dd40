#include "benchmark/target_size/target_fleet.hpp"

#include <string>

#include <fmt/format.h>

namespace hemlockshelf {

namespace {

std::string account_name(const fleet_size& size, std::size_t service)
{
    return fmt::format("account-{}", service % size.accounts_);
}

row_key service_row_key(const fleet_size& size, std::size_t service)
{
    return row_key{
        fmt::format("{}/service-{}", account_name(size, service), service)};
}

row_change
make_route(const fleet_size& size, std::size_t service, std::size_t number)
{
    route_row route;
    route.host_ = fmt::format("service-{}.example", service);
    route.path_prefix_ = number == 0 ? "/" : fmt::format("/part-{}", number);
    route.pool_ = service_row_key(size, service);
    return {
        table_id::routes,
        row_key{fmt::format(
            "{}-{}", service_row_key(size, service).value(), number)},
        route};
}

} // namespace

member_record make_member(const fleet_size& size, std::size_t index)
{
    const auto domain = index % size.failure_domains_;
    const auto service = index % size.services_;
    member_record record;
    record.vm_ = vm_id{fmt::format("service-{}-vm-{}", service, index)};
    record.failure_domain_ =
        failure_domain_id{fmt::format("failure-domain-{}", domain)};
    record.region_ =
        region_id{fmt::format("region-{}", domain % size.regions_)};
    const auto address =
        fmt::format("10.{}.{}.{}", domain, index / 250 % 250, index % 250 + 1);
    record.gate_address_ = address + ":7002";
    record.control_address_ = address + ":7003";
    record.admin_address_ = address + ":7004";
    record.incarnation_ = incarnation{1'700'000'000'000'000 + index};
    record.sequence_ = sequence{1};
    record.state_ = upstream_state::ready;
    record.account_ = client_account_id{account_name(size, service)};
    record.service_ = service_name{fmt::format("service-{}", service)};
    record.slots_ = slot_count{20};
    record.connections_ = connection_count{110};
    return record;
}

std::vector<row_change> make_rows(const fleet_size& size)
{
    std::vector<row_change> rows;
    for (std::size_t service = 0; service < size.services_; ++service)
    {
        const pool_row pool{
            service_name{fmt::format("service-{}", service)}, {}, false, 200};
        rows.push_back({table_id::pools, service_row_key(size, service), pool});
        for (std::size_t number = 0; number < size.routes_per_service_;
             ++number)
        {
            rows.push_back(make_route(size, service, number));
        }
    }
    return rows;
}

row_change make_edit(const fleet_size& size, std::size_t number)
{
    auto change = make_route(size, number * 7919 % size.services_, 0);
    std::get<route_row>(change.row_).timeout_ =
        std::chrono::milliseconds{1000 + number % 1000};
    return change;
}

} // namespace hemlockshelf
