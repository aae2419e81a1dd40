#include "platform/configuration_document.hpp"

#include "platform_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;
using namespace std::chrono_literals;

namespace {

const resolved_route* find_order_route(const config_snapshot& snapshot)
{
    return snapshot.find_route(platform_account(), "a.example", "/orders/2f");
}

result<std::shared_ptr<const config_snapshot>>
read_without_current(const nlohmann::json& document)
{
    return read_configuration(document, *config_snapshot::empty());
}

} // namespace

// Guards against parsing a route's kind, durations or weighted clusters
// wrongly. With a wrong kind, a non-idempotent GET could be retried and run
// twice.
Test(configuration_document, reads_a_route_with_all_of_its_fields)
{
    const auto read = read_without_current(configuration("r12"));
    cr_assert(read.has_value());
    cr_assert((*read)->number() == revision{12});
    const auto* route = find_order_route(**read);
    cr_assert(route != nullptr);
    cr_assert(!route->route_->idempotent_);
    cr_assert(route->route_->ignore_method_);
    cr_assert(route->route_->timeout_ == 800ms);
    cr_assert(route->route_->target_latency_ == 300ms);
    cr_assert(route->route_->max_attempts_ == 2);
    cr_assert(route->split_targets_.size() == 2);
    cr_assert(choose_split_target(*route, 0.05).pool_key_ == pool_key("desk"));
    cr_assert(
        choose_split_target(*route, 0.95).pool_key_ == pool_key("catalogue"));
}

// Guards against activating the valid parts of an invalid configuration.
Test(configuration_document, refuses_a_bad_part_as_a_whole)
{
    const auto is_rejected =
        [](const char* pointer, const nlohmann::json& value)
    {
        auto document = configuration("r12");
        document[nlohmann::json::json_pointer(pointer)] = value;
        const auto read = read_without_current(document);
        return !read && read.error().kind_ == error_kind::invalid_row;
    };
    cr_assert(is_rejected("/version", "12"));
    cr_assert(is_rejected("/version", 12));
    cr_assert(is_rejected("/resources", "none"));
    cr_assert(is_rejected("/resources/0", 7));
    cr_assert(is_rejected("/resources/0/spec", nullptr));
    cr_assert(is_rejected("/resources/0/spec/kind", "odd"));
    cr_assert(is_rejected("/resources/0/spec/host", nullptr));
    cr_assert(is_rejected("/resources/0/spec/prefix", "orders"));
    cr_assert(is_rejected(
        "/resources/0/spec/weighted_clusters/0/service", "unknown"));
    cr_assert(
        is_rejected("/resources/0/spec/weighted_clusters/0/weight", "many"));
    cr_assert(!read_without_current(nlohmann::json::array()));
}

// Guards against copying unchanged rows for each version, and against keeping
// rows that the new version removed.
Test(configuration_document, shares_the_rows_that_stay)
{
    const auto before = read_without_current(configuration("r12"));
    auto document = configuration("r15");
    document["resources"][1]["metadata"]["name"] = "desk-2";
    document["resources"][0]["spec"]["weighted_clusters"][0]["service"] =
        "desk-2";
    const auto after = read_configuration(document, **before);
    cr_assert(after.has_value());
    const auto& tables = (*after)->tables();
    cr_assert(tables.pools_.size() == 2);
    cr_assert(!tables.pools_.contains(pool_key("desk")));
    cr_assert(
        tables.pools_.at(pool_key("catalogue")) ==
        (*before)->tables().pools_.at(pool_key("catalogue")));
    cr_assert(
        tables.hash_ == (*read_without_current(document))->tables().hash_);
}
