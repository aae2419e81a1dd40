#include "platform/configuration_document.hpp"

#include "platform_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;
using namespace std::chrono_literals;

namespace {

const resolved_route* order_route(const config_snapshot& snapshot)
{
    return snapshot.find_route(platform_account(), "a.example", "/orders/2f");
}

result<std::shared_ptr<const config_snapshot>>
read_whole(const nlohmann::json& document)
{
    return read_configuration(document, *config_snapshot::empty());
}

} // namespace

// Guards against a route whose kind, times or parts are read wrongly: a
// non-idempotent GET would run twice.
Test(configuration_document, reads_a_route_with_all_of_its_fields)
{
    const auto read = read_whole(configuration("r12"));
    cr_assert(read.has_value());
    cr_assert((*read)->number() == revision{12});
    const auto* route = order_route(**read);
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

// Guards against a configuration that is put into force in part.
Test(configuration_document, refuses_a_bad_part_as_a_whole)
{
    const auto refused = [](const char* pointer, const nlohmann::json& value)
    {
        auto document = configuration("r12");
        document[nlohmann::json::json_pointer(pointer)] = value;
        const auto read = read_whole(document);
        return !read && read.error().kind_ == error_kind::invalid_row;
    };
    cr_assert(refused("/version", "12"));
    cr_assert(refused("/version", 12));
    cr_assert(refused("/resources", "none"));
    cr_assert(refused("/resources/0", 7));
    cr_assert(refused("/resources/0/spec", nullptr));
    cr_assert(refused("/resources/0/spec/kind", "odd"));
    cr_assert(refused("/resources/0/spec/host", nullptr));
    cr_assert(refused("/resources/0/spec/prefix", "orders"));
    cr_assert(
        refused("/resources/0/spec/weighted_clusters/0/service", "unknown"));
    cr_assert(refused("/resources/0/spec/weighted_clusters/0/weight", "many"));
    cr_assert(!read_whole(nlohmann::json::array()));
}

// Guards against versions that each hold copies of the same rows, and against
// rows of the version before that stay although they were removed.
Test(configuration_document, shares_the_rows_that_stay)
{
    const auto before = read_whole(configuration("r12"));
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
    cr_assert(tables.hash_ == (*read_whole(document))->tables().hash_);
}
