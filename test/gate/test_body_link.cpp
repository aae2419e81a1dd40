#include "hemlockshelf/gate/body_link.hpp"

#include <chrono>
#include <cstddef>

#include "hemlockshelf/gate/admission.hpp"
#include "test/gate/gate_simulation.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr bit_rate narrow_link{7'000'000};
constexpr std::uint64_t upload_bytes = 60'000;
constexpr std::uint32_t slots = 18;

gate_settings with_link(bit_rate link)
{
    gate_settings settings;
    settings.link_ = link;
    return settings;
}

gate_call upload(steady_time now, std::uint64_t bytes = upload_bytes)
{
    gate_call call;
    call.entry_vm_ = vm_id{"entry"};
    call.deadline_ = now + 4s;
    call.awaits_body_ = true;
    call.body_ = byte_count{bytes};
    return call;
}

gate_call lookup(steady_time now)
{
    gate_call call;
    call.entry_vm_ = vm_id{"entry"};
    call.class_ = traffic_class::lookup;
    call.deadline_ = now + 1s;
    return call;
}

struct fixture
{
    explicit fixture(bit_rate link = narrow_link) : state_(with_link(link))
    {
        set_capacity(state_, slot_count{slots}, connection_count{560}, now_);
    }

    steady_time now_{1000s};
    gate_state state_;
};

double share_in_time(const source_result& result)
{
    return double(result.done_in_time_) / double(result.offered_);
}

/// Runs uploads of 60 kB, due within a second and a half, and lookups over a
/// link of 7 Mbit/s, whose capacity is 14.6 uploads a second.
std::vector<source_result> run_uploads(bit_rate known, double per_second)
{
    gate_simulation simulation(slots, 150ms, with_link(known));
    simulation.set_link(narrow_link);
    return simulation.run(
        {{"a", "e1", traffic_class::standard, per_second, 1500ms, upload_bytes},
         {"a", "e1", traffic_class::lookup, 30, 300ms}},
        60s);
}

} // namespace

// Guards against bodies that all come at once, so that each takes as long as
// all of them together.
Test(body_link, bodies_beyond_the_grant_wait_for_the_link)
{
    fixture gate;
    const auto first = offer_call(gate.state_, upload(gate.now_), gate.now_);
    cr_assert(first.admission_ == admission::admitted);
    const auto second = offer_call(gate.state_, upload(gate.now_), gate.now_);
    cr_assert(second.admission_ == admission::queued);
    cr_assert(second.expected_wait_ > 50ms);
    const auto events = record_body_arrival(
        gate.state_, first.id_, byte_count{upload_bytes}, gate.now_ + 80ms);
    cr_assert(events.started_.size() == 1);
    cr_assert(events.started_.front() == second.id_);
}

// Guards against calls without a body that wait behind bodies.
Test(body_link, calls_without_a_body_pass)
{
    fixture gate;
    offer_call(gate.state_, upload(gate.now_), gate.now_);
    offer_call(gate.state_, upload(gate.now_), gate.now_);
    const auto passing = offer_call(gate.state_, lookup(gate.now_), gate.now_);
    cr_assert(passing.admission_ == admission::admitted);
}

// Guards against a long body that waits for ever while short ones pass it.
Test(body_link, short_bodies_do_not_pass_a_long_one)
{
    fixture gate;
    const auto first =
        offer_call(gate.state_, upload(gate.now_, 20'000), gate.now_);
    const auto longer =
        offer_call(gate.state_, upload(gate.now_, 200'000), gate.now_);
    const auto shorter =
        offer_call(gate.state_, upload(gate.now_, 20'000), gate.now_);
    cr_assert(longer.admission_ == admission::queued);
    cr_assert(shorter.admission_ == admission::queued);
    const auto events = record_body_arrival(
        gate.state_, first.id_, byte_count{20'000}, gate.now_ + 30ms);
    cr_assert(events.started_.size() == 1);
    cr_assert(events.started_.front() == longer.id_);
}

// Guards against requests with bodies of a few bytes that wait for uploads or
// are refused because of them, and against long uploads that never find the
// link idle because of them.
Test(body_link, short_bodies_do_not_count)
{
    fixture gate;
    offer_call(gate.state_, upload(gate.now_, 360'000), gate.now_);
    const auto order =
        offer_call(gate.state_, upload(gate.now_, 300), gate.now_);
    cr_assert(order.admission_ == admission::admitted);
    cr_assert(gate.state_.link_.granted_ == 360'000);
}

// Guards against uploads that are sent to other failure domains because one
// body is on its way: their entries wait 50 ms at the first gate, and a body of
// 60 kB takes 85 ms.
Test(body_link, an_upload_waits_for_the_one_before_it)
{
    fixture gate;
    offer_call(gate.state_, upload(gate.now_), gate.now_);
    auto second = upload(gate.now_);
    second.max_wait_ = 50ms;
    const auto waiting = offer_call(gate.state_, second, gate.now_);
    cr_assert(waiting.admission_ == admission::queued);
    cr_assert(expire_waiting(gate.state_, gate.now_ + 140ms).refused_.empty());
    const auto third = offer_call(gate.state_, second, gate.now_);
    cr_assert(third.admission_ == admission::refused);
}

// Guards against a link that stays granted to a call that has ended, or to a
// body that is never sent.
Test(body_link, the_link_comes_back_once)
{
    fixture gate;
    const auto first = offer_call(gate.state_, upload(gate.now_), gate.now_);
    cr_assert(gate.state_.link_.granted_ == upload_bytes);
    record_body_arrival(
        gate.state_, first.id_, byte_count{upload_bytes}, gate.now_);
    cr_assert(gate.state_.link_.granted_ == 0);
    release_call(gate.state_, first.id_, gate.now_);
    cr_assert(gate.state_.link_.granted_ == 0);
    const auto aborted = offer_call(gate.state_, upload(gate.now_), gate.now_);
    release_call(gate.state_, aborted.id_, gate.now_);
    cr_assert(gate.state_.link_.granted_ == 0);
    offer_call(gate.state_, upload(gate.now_), gate.now_);
    const auto waiting = offer_call(gate.state_, upload(gate.now_), gate.now_);
    const auto events = expire_waiting(gate.state_, gate.now_ + 900ms);
    cr_assert(events.started_.size() == 1);
    cr_assert(events.started_.front() == waiting.id_);
}

// Guards against waiting uploads that get the link only some time after the
// body that holds it is overdue, and against an owner that does not wake
// because the first upload came to wait after it had asked for the time.
Test(body_link, an_overdue_body_wakes_the_owner)
{
    fixture gate;
    cr_assert(!next_expiry(gate.state_));
    offer_call(gate.state_, upload(gate.now_), gate.now_);
    const auto alone = next_expiry(gate.state_);
    cr_assert(alone.has_value());
    const auto waiting = offer_call(gate.state_, upload(gate.now_), gate.now_);
    cr_assert(waiting.admission_ == admission::queued);
    cr_assert(next_expiry(gate.state_) == alone);
    cr_assert(expire_waiting(gate.state_, *alone - 1ms).started_.empty());
    const auto events = expire_waiting(gate.state_, *alone);
    cr_assert(events.started_.size() == 1);
    cr_assert(events.started_.front() == waiting.id_);
    cr_assert(next_expiry(gate.state_) > alone);
}

// Guards against an expected wait, from which callers are told when to come
// back, that counts bytes which have arrived.
Test(body_link, what_has_arrived_is_not_waited_for)
{
    fixture gate;
    const auto first =
        offer_call(gate.state_, upload(gate.now_, 300'000), gate.now_);
    auto hasty = upload(gate.now_);
    hasty.max_wait_ = 10ms;
    const auto early = offer_call(gate.state_, hasty, gate.now_);
    cr_assert(early.reason_ == refusal_reason::link_full);
    record_body_progress(
        gate.state_, first.id_, byte_count{body_progress_step}, gate.now_);
    record_body_progress(
        gate.state_, first.id_, byte_count{body_progress_step}, gate.now_);
    cr_assert(gate.state_.link_.granted_ == 300'000 - 2 * body_progress_step);
    const auto later = offer_call(gate.state_, hasty, gate.now_);
    cr_assert(later.reason_ == refusal_reason::link_full);
    const auto saved = transfer_time(gate.state_.link_, 2 * body_progress_step);
    cr_assert(early.expected_wait_ - later.expected_wait_ >= saved - 1us);
    release_call(gate.state_, first.id_, gate.now_);
    cr_assert(gate.state_.link_.granted_ == 0);
}

// Guards against a link that stands idle in part because the next upload waits
// for bytes that have arrived.
Test(body_link, an_upload_starts_when_enough_has_arrived)
{
    fixture gate;
    const auto first = offer_call(gate.state_, upload(gate.now_), gate.now_);
    const auto second = offer_call(gate.state_, upload(gate.now_), gate.now_);
    cr_assert(second.admission_ == admission::queued);
    const auto events = record_body_progress(
        gate.state_, first.id_, byte_count{body_progress_step}, gate.now_);
    cr_assert(events.started_.size() == 1);
    cr_assert(events.started_.front() == second.id_);
}

// Guards against a body that is longer than it was assumed to be and no longer
// counts while it arrives, and against one that is counted again after the link
// was taken back from it.
Test(body_link, the_rest_of_a_body_of_unknown_size_counts)
{
    fixture gate;
    auto chunked = upload(gate.now_);
    chunked.body_ = std::nullopt;
    const auto first = offer_call(gate.state_, chunked, gate.now_);
    for (int part = 0; part < 10; ++part)
    {
        record_body_progress(
            gate.state_, first.id_, byte_count{body_progress_step}, gate.now_);
    }
    cr_assert(gate.state_.link_.granted_ == body_progress_step);
    expire_waiting(gate.state_, gate.now_ + 2s);
    cr_assert(gate.state_.link_.granted_ == 0);
    record_body_progress(
        gate.state_, first.id_, byte_count{body_progress_step}, gate.now_ + 2s);
    cr_assert(gate.state_.link_.granted_ == 0);
}

// Guards against an upload that is asked for its body although the link can't
// bring it in time, and against a refusal that blames the slots.
Test(body_link, what_the_link_cannot_bring_is_refused)
{
    fixture gate;
    auto patient = upload(gate.now_);
    std::size_t queued = 0;
    admission_result last;
    do
    {
        last = offer_call(gate.state_, patient, gate.now_);
        ++queued;
    } while (last.admission_ != admission::refused && queued < slots);
    cr_assert(last.admission_ == admission::refused);
    cr_assert(last.reason_ == refusal_reason::link_full);
    cr_assert(last.expected_wait_ > 400ms);
    cr_assert(free_slots(gate.state_) < slots / 2);
}

// Guards against a gate that counts bodies whose size is not said as nothing.
Test(body_link, an_unknown_size_counts_as_the_mean_of_its_kind)
{
    fixture gate;
    const auto known = offer_call(gate.state_, upload(gate.now_), gate.now_);
    record_body_arrival(
        gate.state_, known.id_, byte_count{upload_bytes}, gate.now_);
    auto chunked = upload(gate.now_);
    chunked.body_ = std::nullopt;
    offer_call(gate.state_, chunked, gate.now_);
    cr_assert(gate.state_.link_.granted_ == upload_bytes);
}

// Guards against a mean that leaves out short bodies, whose arrival is not
// reported: bodies of unknown size of their kind would count as long.
Test(body_link, short_bodies_are_learned_without_a_report)
{
    fixture gate;
    const auto known =
        offer_call(gate.state_, upload(gate.now_, 300), gate.now_);
    release_call(gate.state_, known.id_, gate.now_);
    auto chunked = upload(gate.now_);
    chunked.body_ = std::nullopt;
    offer_call(gate.state_, chunked, gate.now_);
    cr_assert(gate.state_.link_.granted_ == 0);
}

// Guards against bodies of unknown size that are all asked for at once because
// none of their kind has been seen, and against an assumption that outlives the
// first body.
Test(body_link, an_unknown_size_of_an_unseen_kind_is_assumed)
{
    fixture gate;
    auto chunked = upload(gate.now_);
    chunked.body_ = std::nullopt;
    const auto first = offer_call(gate.state_, chunked, gate.now_);
    cr_assert(first.admission_ == admission::admitted);
    cr_assert(gate.state_.link_.granted_ > 0);
    const auto second = offer_call(gate.state_, chunked, gate.now_);
    cr_assert(second.admission_ == admission::queued);
    const auto events =
        record_body_arrival(gate.state_, first.id_, byte_count{300}, gate.now_);
    cr_assert(events.started_.size() == 1);
    cr_assert(gate.state_.link_.granted_ == 0);
    const auto third = offer_call(gate.state_, chunked, gate.now_);
    cr_assert(third.admission_ == admission::admitted);
}

// Guards against a link whose capacity is not known and that grants nothing.
Test(body_link, without_a_capacity_every_body_is_granted)
{
    fixture gate{bit_rate{}};
    for (std::uint32_t call = 0; call < slots - 1; ++call)
    {
        const auto offered =
            offer_call(gate.state_, upload(gate.now_), gate.now_);
        cr_assert(offered.admission_ == admission::admitted);
    }
}

// The load: half as many uploads again as a narrow link carries, with slots to
// spare. Guards against bodies that are all asked for at once: what else
// crosses the link then waits longer than an entry does for a connection
// (250 ms), so that lookups and the gate's own calls fail as well.
Test(body_link, uploads_beyond_the_link_hold_nothing_else_up)
{
    constexpr double carried = 14.6 * 0.8;
    constexpr double offered = 22;
    const auto paced = run_uploads(narrow_link, offered);
    const auto& uploads = paced.front();
    cr_assert_lt(
        paced.back().longest_link_wait_.count(),
        std::chrono::nanoseconds(250ms).count());
    cr_assert_gt(
        share_in_time(uploads), 0.9 * carried / offered, "%f in time",
        share_in_time(uploads));
    cr_assert_lt(
        double(uploads.done_late_), 0.02 * double(uploads.offered_),
        "%zu of %zu late", uploads.done_late_, uploads.offered_);
    // The model shows the fault when the gate does not know its link.
    const auto unpaced = run_uploads(bit_rate{}, offered);
    cr_log_info(
        "longest wait for the link %ld ms, %ld ms if its capacity is unknown; "
        "uploads in time %f and %f, late %zu and %zu",
        long(paced.back().longest_link_wait_ / 1ms),
        long(unpaced.back().longest_link_wait_ / 1ms), share_in_time(uploads),
        share_in_time(unpaced.front()), uploads.done_late_,
        unpaced.front().done_late_);
    cr_assert_gt(
        unpaced.back().longest_link_wait_.count(),
        std::chrono::nanoseconds(500ms).count());
}
