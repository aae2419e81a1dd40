#include "platform/configuration_document.hpp"

#include <rapidcheck.h>

#include "adapters/rpc/config_payload.hpp"
#include "hemlockshelf/accounts/key_hash.hpp"
#include "hemlockshelf/config/table_changes.hpp"
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

/// Returns the snapshot that a node builds from a delta that a peer has sent.
result<std::shared_ptr<const config_snapshot>>
read_from_peer(const config_snapshot& held, const config_snapshot& next)
{
    const accepted_delta sent{
        {next.number(), changes_between(held.tables(), next.tables()),
         next.tables().hash_, held.number()},
        {}};
    const auto received = decode_deltas(encode_deltas({sent}));
    if (!received)
    {
        return tl::unexpected<error>(received.error());
    }
    return apply_delta(held, received->front().delta_);
}

/// Returns whether a node that gets the snapshot from a peer, as a delta or as
/// a whole, holds the same tables.
bool can_be_passed_on(const config_snapshot& snapshot)
{
    const auto from_delta = read_from_peer(*config_snapshot::empty(), snapshot);
    const auto whole = decode_snapshot(encode_snapshot(snapshot));
    return from_delta && whole &&
           all_rows((*from_delta)->tables()) == all_rows(snapshot.tables()) &&
           (*whole)->tables().hash_ == snapshot.tables().hash_;
}

/// Returns a configuration in which one field of the route has another value.
nlohmann::json with_field(const char* field, const nlohmann::json& value)
{
    auto document = configuration("r12");
    document["resources"][0]["spec"][field] = value;
    return document;
}

rc::Gen<std::string> any_name()
{
    return rc::gen::exec(
        []
        {
            const auto part = *rc::gen::element<std::string>(
                "r-1", "annales/atelier", "Pièces & devis", "a b", "\"quoted\"",
                "%2f", "日本");
            const auto repetitions = *rc::gen::inRange(1, 60);
            std::string name;
            for (int count = 0; count < repetitions; ++count)
            {
                name += part;
            }
            return name;
        });
}

rc::Gen<nlohmann::json> any_duration()
{
    return rc::gen::element<nlohmann::json>(
        "0ms", "0.2ms", "1ms", "2.5s", "900s", "604800s", "99999999s", "1e30s",
        "0.0005s", nullptr);
}

rc::Gen<nlohmann::json> any_count()
{
    return rc::gen::element<nlohmann::json>(
        0, 1, 2.0, 11, 101, 4294967296, 18446744073709551615ULL, nullptr);
}

rc::Gen<nlohmann::json> any_weight()
{
    return rc::gen::element<nlohmann::json>(
        0, 1, 90, 0.1, 0.9, 1e-9, 1000001, 4294967297, 1e18, 1e308);
}

/// Returns a configuration that operators may publish, with values far from
/// the usual ones.
nlohmann::json any_configuration()
{
    const auto name = *any_name();
    const auto service = *any_name();
    auto document = configuration("r12");
    auto& route = document["resources"][0];
    route["metadata"]["name"] = name;
    auto& spec = route["spec"];
    spec["timeout"] = *any_duration();
    spec["target_latency"] = *any_duration();
    spec["priority"] = *any_count();
    spec["max_attempts"] = *any_count();
    spec["prefix"] = "/" + *any_name() + "/";
    auto& split = spec["weighted_clusters"];
    split[0]["weight"] = *any_weight();
    split[1]["weight"] = *rc::gen::suchThat(
        any_weight(),
        [](const nlohmann::json& weight)
        {
            return weight.get<double>() > 0;
        });
    split[0]["service"] = service;
    document["resources"][1]["metadata"]["name"] = service;
    return document;
}

} // namespace

// Guards against a version that comes into force on the nodes that read the
// platform and is refused by all that get it from a peer: a timeout of 900s
// left them on the version before for good.
Test(configuration_document, every_accepted_version_can_be_passed_on)
{
    const std::vector<std::pair<const char*, nlohmann::json>> changes{
        {"timeout", "900s"},
        {"timeout", "0.2ms"},
        {"target_latency", "900s"},
        {"priority", 101},
        {"max_attempts", 11},
        {"prefix", "/" + std::string(600, 'a') + "/"}};
    for (const auto& [field, value] : changes)
    {
        const auto read = read_without_current(with_field(field, value));
        cr_assert(read.has_value(), "%s", field);
        cr_assert(can_be_passed_on(**read), "%s", field);
    }
    auto document = configuration("r12");
    document["resources"][0]["metadata"]["name"] = "annales/atelier";
    const auto read = read_without_current(document);
    cr_assert(read.has_value());
    cr_assert(can_be_passed_on(**read));
}

// Guards against a difference between what a reader and its peers accept, for
// any values that the operator may publish.
Test(configuration_document, what_one_node_puts_into_force_every_node_can)
{
    cr_assert(rc::check(
        []
        {
            const auto document = any_configuration();
            const auto read = read_without_current(document);
            RC_ASSERT(read.has_value());
            RC_ASSERT(can_be_passed_on(**read));
            RC_ASSERT(
                read_without_current(nlohmann::json::parse(document.dump()))
                    .value()
                    ->tables()
                    .hash_ == (*read)->tables().hash_);
        }));
}

// Guards against a configuration that only the readers refuse or accept: what
// they cannot pass on they refuse themselves, and say why.
Test(configuration_document, refuses_what_cannot_be_passed_on)
{
    const std::vector<std::pair<const char*, nlohmann::json>> changes{
        {"host", ""},
        {"host", std::string(20'000, 'a')},
        {"timeout", "soon"},
        {"timeout", 800},
        {"target_latency", "nanms"},
        {"priority", -1},
        {"priority", 0.5},
        {"max_attempts", "many"},
        {"weighted_clusters", {{{"service", "desk"}, {"weight", 0}}}},
        {"weighted_clusters", {{{"service", "desk"}, {"weight", -1}}}}};
    for (const auto& [field, value] : changes)
    {
        const auto read = read_without_current(with_field(field, value));
        cr_assert(!read, "%s", field);
        cr_assert(read.error().kind_ == error_kind::invalid_row);
        cr_assert(
            read.error().message_.find("r-1") != std::string::npos, "%s",
            read.error().message_.c_str());
    }
    for (const auto* name : {"", " desk", "de\r\nsk"})
    {
        auto document = configuration("r12");
        document["resources"][1]["metadata"]["name"] = name;
        document["resources"][0]["spec"]["weighted_clusters"][0]["service"] =
            name;
        cr_assert(!read_without_current(document), "%s", name);
    }
}

// Guards against weights that are no whole numbers, which kept the version
// from all nodes, and against shares that differ from the weights.
Test(configuration_document, keeps_the_proportions_of_weights)
{
    const auto share_of = [](double first, double second)
    {
        auto document = configuration("r12");
        auto& split = document["resources"][0]["spec"]["weighted_clusters"];
        split[0]["weight"] = first;
        split[1]["weight"] = second;
        const auto read = read_without_current(document);
        cr_assert(read.has_value());
        const auto& shares = (*read)->tables().routes_.begin()->second->split_;
        return shares[0].weight_ /
               (double(shares[0].weight_) + shares[1].weight_);
    };
    constexpr double tolerance = 1e-5;
    cr_assert(std::abs(share_of(0.9, 0.1) - 0.9) < tolerance);
    cr_assert(std::abs(share_of(1e18, 3e18) - 0.25) < tolerance);
    cr_assert(std::abs(share_of(1e308, 1e308) - 0.5) < tolerance);
    cr_assert(share_of(1, 1e9) > 0);
    cr_assert(share_of(0, 0.5) == 0);
}

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

namespace {

nlohmann::json with_account(const nlohmann::json& spec)
{
    auto document = configuration("r12");
    document["resources"].push_back(
        {{"resource_type", "tenants"},
         {"metadata", {{"name", "bozi300"}}},
         {"spec", spec}});
    return document;
}

} // namespace

// Guards against accounts that are read in part, and against keys that reach
// other nodes or dumps in another form than their hash.
Test(configuration_document, reads_client_accounts)
{
    const auto snapshot = read_without_current(with_account(
        {{"api_keys", {"key-1", "key-2"}},
         {"priority", 0},
         {"rate_per_s", 572},
         {"burst", 1.5}}));
    cr_assert(snapshot.has_value());
    const auto* account =
        (*snapshot)->accounts().find(platform_account(), sha256_hex("key-2"));
    cr_assert(account != nullptr && account->name_.value() == "bozi300");
    cr_assert(account->row_->priority_ == 0U);
    cr_assert(account->row_->requests_per_second_ == 572);
    cr_assert(account->row_->burst_ == 1.5);
    cr_assert(can_be_passed_on(**snapshot));
    cr_assert(encode_snapshot(**snapshot).find("key-2") == std::string::npos);
}

// Guards against routes whose callers need a key although the operator has
// opened them.
Test(configuration_document, reads_public_routes)
{
    const auto open = read_without_current(with_field("public", true));
    cr_assert(find_order_route(**open)->route_->public_);
    const auto closed = read_without_current(with_field("public", false));
    cr_assert(!find_order_route(**closed)->route_->public_);
    cr_assert(!read_without_current(with_field("public", "yes")));
}

// Guards against a version of which a part comes into force, and against keys
// in the messages of errors, which are logged.
Test(configuration_document, refuses_malformed_accounts)
{
    const std::string long_key(4097, 'k');
    for (const nlohmann::json& spec :
         {nlohmann::json{{"api_keys", "key-1"}},
          nlohmann::json{{"api_keys", {"key-1", 7}}},
          nlohmann::json{{"api_keys", {"key-1", ""}}},
          nlohmann::json{{"api_keys", {"key-1", long_key}}},
          nlohmann::json{{"api_keys", {"key-1"}}, {"rate_per_s", -1}},
          nlohmann::json{{"api_keys", {"key-1"}}, {"burst", "many"}},
          nlohmann::json{{"api_keys", {"key-1"}}, {"priority", 0.5}}})
    {
        const auto snapshot = read_without_current(with_account(spec));
        cr_assert(!snapshot, "%s", spec.dump().c_str());
        cr_assert(snapshot.error().message_.find("key-1") == std::string::npos);
    }
}
