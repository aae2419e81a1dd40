#include "hemlockshelf/config/route_index.hpp"

#include <map>

#include <rapidcheck.h>

#include "hemlockshelf/config/row_codec.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

resolved_route split_route(const std::vector<std::uint32_t>& weights)
{
    auto row = std::make_shared<route_row>();
    resolved_route route;
    for (std::size_t index = 0; index < weights.size(); ++index)
    {
        const row_key pool{"mesh/pool-" + std::to_string(index)};
        row->split_.push_back({pool, weights[index]});
    }
    route.route_ = row;
    for (const auto& share : row->split_)
    {
        route.split_targets_.push_back(
            {row_key{"mesh/r"}, row, share.pool_, {}, {}});
    }
    return route;
}

} // namespace

// Guards against shares of requests that differ from the weights, and against a
// pool of weight 0 that receives requests.
Test(route_split, parts_get_their_weight)
{
    cr_assert(rc::check(
        [](std::uint8_t first, std::uint8_t second, std::uint8_t third)
        {
            RC_PRE(first + second + third > 0);
            const auto route = split_route({first, second, third});
            std::map<row_key, int> counts;
            constexpr int requests = 1000;
            for (int request = 0; request < requests; ++request)
            {
                const double position = double(request) / requests;
                ++counts[choose_split_target(route, position).pool_key_];
            }
            const double total = first + second + third;
            const std::vector<std::uint8_t> weights{first, second, third};
            for (std::size_t part = 0; part < weights.size(); ++part)
            {
                const auto key = row_key{"mesh/pool-" + std::to_string(part)};
                const double share = counts[key] / double(requests);
                RC_ASSERT(std::abs(share - weights[part] / total) < 0.01);
            }
        }));
}

Test(route_split, a_route_without_a_split_is_its_only_part)
{
    resolved_route route;
    route.route_ = std::make_shared<route_row>();
    cr_assert(&choose_split_target(route, 0.5) == &route);
}

// Guards against fields that are lost in serialization.
Test(route_split, rows_keep_every_field)
{
    route_row row;
    row.host_ = "a.example";
    row.pool_ = row_key{"mesh/desk"};
    row.ignore_method_ = true;
    row.target_latency_ = 300ms;
    row.priority_ = 2;
    row.max_attempts_ = 3;
    row.split_ = {{row_key{"mesh/desk"}, 90}, {row_key{"mesh/other"}, 10}};
    const auto read = route_from_json(to_json(row));
    cr_assert(read && *read == row);
    auto json = to_json(row);
    json["split"] = nlohmann::json::array();
    cr_assert(!route_from_json(json));
    json["split"] = {{{"pool", "mesh/desk"}, {"weight", 0}}};
    cr_assert(!route_from_json(json));
}

// Guards against a split route that references a missing pool.
Test(route_split, every_part_needs_its_pool)
{
    config_tables tables;
    route_row row;
    row.host_ = "a.example";
    row.pool_ = row_key{"mesh/desk"};
    row.split_ = {{row_key{"mesh/desk"}, 90}, {row_key{"mesh/other"}, 10}};
    apply_change(tables, {table_id::pools, row_key{"mesh/desk"}, pool_row{}});
    apply_change(tables, {table_id::routes, row_key{"mesh/r"}, row});
    cr_assert(!check_references(tables));
    apply_change(tables, {table_id::pools, row_key{"mesh/other"}, pool_row{}});
    cr_assert(check_references(tables).has_value());
}
