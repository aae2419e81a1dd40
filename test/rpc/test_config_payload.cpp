#include "adapters/rpc/config_payload.hpp"

#include <string>
#include <vector>

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

accepted_delta make_delta()
{
    accepted_delta accepted;
    accepted.delta_.to_ = revision{7};
    pool_row pool;
    pool.service_ = service_name{"ledger"};
    accepted.delta_.changes_ = {
        {table_id::pools, row_key{"guild/ledger"}, pool}};
    accepted.delta_.result_hash_ = content_hash{1, 2};
    accepted.accepted_at_ = wall_time{std::chrono::milliseconds{1234}};
    return accepted;
}

} // namespace

// Guards against deltas that change on their way.
Test(config_payload, deltas_round_trip)
{
    const auto sent = make_delta();
    const auto read = decode_deltas(encode_deltas({sent}));
    cr_assert(read.has_value());
    cr_assert(read->size() == 1);
    cr_assert(read->front().delta_ == sent.delta_);
    cr_assert(read->front().accepted_at_ == sent.accepted_at_);
}

// Guards against short deltas that are compressed by themselves, which keeps
// the control stream from using the messages before, and against long ones that
// are not.
Test(config_payload, only_long_lists_of_deltas_are_compressed)
{
    const auto one = encode_deltas({make_delta()});
    cr_assert_neq(one.find("guild/ledger"), std::string::npos);
    const std::vector<accepted_delta> many(1000, make_delta());
    const auto long_list = encode_deltas(many);
    cr_assert_lt(long_list.size(), 100 * one.size());
    const auto read = decode_deltas(long_list);
    cr_assert(read.has_value());
    cr_assert(read->size() == many.size());
}

// Guards against a damaged payload that ends the process or is applied.
Test(config_payload, damaged_payloads_are_refused)
{
    const auto good = encode_deltas({make_delta()});
    cr_assert(rc::check(
        [&good]
        {
            auto bad = good;
            const auto cut = *rc::gen::inRange<std::size_t>(0, bad.size());
            bad.resize(cut);
            RC_ASSERT(!decode_deltas(bad).has_value());
            RC_ASSERT(!decode_snapshot(bad).has_value());
        }));
    cr_assert(rc::check(
        [](const std::string& garbage)
        {
            RC_ASSERT(!decode_deltas(garbage).has_value());
            RC_ASSERT(!decode_snapshot(garbage).has_value());
        }));
}

// Guards against a snapshot whose rows do not match its hash.
Test(config_payload, snapshots_round_trip)
{
    const auto empty = config_snapshot::empty();
    const auto read = decode_snapshot(encode_snapshot(*empty));
    cr_assert(read.has_value());
    cr_assert((*read)->tables().hash_ == empty->tables().hash_);
    cr_assert_not(decode_snapshot(encode_deltas({make_delta()})).has_value());
}
