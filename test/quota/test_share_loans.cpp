// The tokens that the nodes of one failure domain grant while they disagree on
// who grants, without a network: messages are lost and late, nodes are cut off,
// paused and restarted, and their clocks run at different rates.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hemlockshelf/quota/share_lender.hpp"
#include "hemlockshelf/quota/token_grantor.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

using real_time = std::chrono::nanoseconds;

constexpr std::chrono::milliseconds step{20};
constexpr std::chrono::milliseconds loan_interval = share_loan_time / 3;
constexpr std::chrono::seconds troubled_time{60};
constexpr std::chrono::milliseconds longest_delay{1500};
// A delayed question of another node brings a last loan to it, and two
// questions follow.
constexpr std::chrono::milliseconds recovery_time =
    longest_delay + share_loan_time + share_loan_margin + 2 * loan_interval;
constexpr std::chrono::seconds window{5};
// A node forgets its tokens after a pause of this length.
constexpr std::chrono::seconds pause_threshold{2};

const client_account_id account{"mesh/observatory"};
constexpr account_quota quota{400, 400};
constexpr double domains = 4;
// Clocks run up to 1 % too fast or too slow.
constexpr double largest_drift = 0.01;

quota_settings settings_of_four_domains()
{
    return {.window_ = 5s, .overage_ = 0.1, .failure_domains_ = 4};
}

class sharing_node
{
public:
    sharing_node(vm_id vm, double clock_rate, std::chrono::seconds clock_offset)
        : vm_(std::move(vm)), clock_rate_(clock_rate),
          clock_offset_(clock_offset), lender_(boot_time{})
    {}

    [[nodiscard]] boot_time clock(real_time now) const
    {
        return boot_time{std::chrono::duration_cast<std::chrono::nanoseconds>(
            clock_offset_ + clock_rate_ * now)};
    }

    void start(real_time now)
    {
        ++process_;
        lender_ = share_lender(clock(now));
        grantor_.reset();
        ran_at_ = now;
    }

    /// Does what a node does on each tick.
    void run(real_time now, const std::set<vm_id>& members)
    {
        if (now - ran_at_ > pause_threshold || !believes_to_grant_)
        {
            grantor_.reset();
            lender_.release(vm_);
        }
        ran_at_ = now;
        if (!believes_to_grant_)
        {
            return;
        }
        if (!grantor_)
        {
            grantor_.emplace(settings_of_four_domains());
            grantor_->set_members(members, clock(now));
        }
        grantor_->update(clock(now));
    }

    vm_id vm_;
    double clock_rate_;
    std::chrono::seconds clock_offset_;
    share_lender lender_;
    std::optional<token_grantor> grantor_;
    bool believes_to_grant_ = false;
    /// Side of the partition. No message reaches another side.
    std::size_t side_ = 0;
    /// Number of the running process.
    int process_ = 0;
    real_time ran_at_{0};
    real_time paused_until_{0};
    real_time next_loans_{0};
};

/// A question for a share or the answer to it.
struct loan_message
{
    std::size_t borrower_ = 0;
    std::size_t lender_ = 0;
    /// Processes at the time of the question. A connection does not outlast
    /// them.
    int borrower_process_ = 0;
    int lender_process_ = 0;
    boot_time asked_at_;
    bool is_answer_ = false;
};

class failure_domain
{
public:
    failure_domain(std::size_t nodes, std::uint32_t seed) : random_(seed)
    {
        for (std::size_t index = 0; index < nodes; ++index)
        {
            const double rate = 1 + largest_drift * draw_between(-1.0, 1.0);
            nodes_.emplace_back(
                vm_id{"vm-" + std::to_string(index)}, rate,
                std::chrono::seconds{100 + random_() % 1000});
            members_.insert(nodes_.back().vm_);
            nodes_.back().start(now_);
        }
    }

    void run_troubled()
    {
        for (const auto until = now_ + troubled_time; now_ < until;)
        {
            if (draw(0.02))
            {
                make_trouble();
            }
            run_step(0.1, longest_delay);
        }
    }

    /// Ends all troubles and lets one node grant for this time.
    void run_calm(std::chrono::milliseconds time)
    {
        for (auto& node : nodes_)
        {
            node.side_ = 0;
            node.paused_until_ = now_;
            node.believes_to_grant_ = &node == &nodes_.front();
        }
        for (const auto until = now_ + time; now_ < until;)
        {
            run_step(0, 2ms);
        }
    }

    /// Returns the largest number of tokens granted in a window.
    [[nodiscard]] std::uint64_t in_window() const
    {
        return in_window_;
    }

    [[nodiscard]] double share_of_first() const
    {
        const auto& node = nodes_.front();
        return node.grantor_ ? node.grantor_->share(node.clock(now_)) : 0;
    }

private:
    bool draw(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }

    double draw_between(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }

    void make_trouble()
    {
        const auto index = random_() % nodes_.size();
        auto& node = nodes_.at(index);
        switch (random_() % 4)
        {
        case 0:
            node.side_ = random_() % 3;
            break;
        case 1:
            node.paused_until_ =
                now_ + std::chrono::milliseconds{random_() % 6000};
            break;
        case 2:
            node.start(now_);
            break;
        default:
            node.believes_to_grant_ = !node.believes_to_grant_;
            break;
        }
    }

    void run_step(double loss, std::chrono::milliseconds delay)
    {
        now_ += step;
        loss_ = loss;
        delay_ = delay;
        deliver();
        for (std::size_t index = 0; index < nodes_.size(); ++index)
        {
            auto& node = nodes_.at(index);
            if (now_ < node.paused_until_)
            {
                continue;
            }
            node.run(now_, members_);
            if (node.grantor_ && now_ >= node.next_loans_)
            {
                node.next_loans_ = now_ + loan_interval;
                borrow(index);
            }
            grant(node);
        }
    }

    void borrow(std::size_t borrower)
    {
        auto& node = nodes_.at(borrower);
        const auto now = node.clock(now_);
        for (std::size_t lender = 0; lender < nodes_.size(); ++lender)
        {
            if (lender != borrower)
            {
                send(
                    {borrower, lender, node.process_,
                     nodes_.at(lender).process_, now, false});
            }
            else if (node.lender_.lend(node.vm_, now))
            {
                node.grantor_->record_loan(
                    node.vm_, now + share_loan_time, now);
            }
        }
    }

    void send(const loan_message& message)
    {
        if (!draw(loss_))
        {
            const real_time delay{static_cast<std::int64_t>(
                draw_between(0, 1) *
                static_cast<double>(real_time{delay_}.count()))};
            messages_.emplace(now_ + delay, message);
        }
    }

    void deliver()
    {
        while (!messages_.empty() && messages_.begin()->first <= now_)
        {
            const auto message = messages_.extract(messages_.begin()).mapped();
            auto& borrower = nodes_.at(message.borrower_);
            auto& lender = nodes_.at(message.lender_);
            auto& receiver = message.is_answer_ ? borrower : lender;
            if (now_ < receiver.paused_until_)
            {
                messages_.emplace(now_ + step, message);
                continue;
            }
            const bool is_lost =
                borrower.side_ != lender.side_ ||
                borrower.process_ != message.borrower_process_ ||
                lender.process_ != message.lender_process_;
            if (!is_lost)
            {
                receive(message, borrower, lender);
            }
        }
    }

    void
    receive(loan_message message, sharing_node& borrower, sharing_node& lender)
    {
        if (!message.is_answer_)
        {
            if (lender.lender_.lend(borrower.vm_, lender.clock(now_)))
            {
                message.is_answer_ = true;
                send(message);
            }
            return;
        }
        if (borrower.grantor_)
        {
            borrower.grantor_->record_loan(
                lender.vm_, message.asked_at_ + share_loan_time,
                borrower.clock(now_));
        }
    }

    /// Grants all that the node has, at irregular times.
    void grant(sharing_node& node)
    {
        if (!node.grantor_ || !draw(0.1))
        {
            return;
        }
        const auto granted =
            node.grantor_->grant(account, quota, 1000, node.clock(now_))
                .granted_;
        grants_.emplace_back(now_, granted);
        recent_ += granted;
        while (grants_.front().first <= now_ - window)
        {
            recent_ -= grants_.front().second;
            grants_.pop_front();
        }
        in_window_ = std::max(in_window_, recent_);
    }

    std::mt19937 random_;
    real_time now_{0};
    std::vector<sharing_node> nodes_;
    std::set<vm_id> members_;
    std::multimap<real_time, loan_message> messages_;
    double loss_ = 0;
    /// Longest delay of the messages that are sent now.
    std::chrono::milliseconds delay_{0};
    std::deque<std::pair<real_time, std::uint64_t>> grants_;
    std::uint64_t recent_ = 0;
    std::uint64_t in_window_ = 0;
};

constexpr std::uint32_t seeds = 50;

} // namespace

// Failure: nodes of one failure domain are cut off, paused, restarted and hold
// themselves for its grantor at the same time.
// Guards against nodes that together grant more than the part of their failure
// domain.
Test(share_loans, grantors_of_one_part_do_not_exceed_it)
{
    const double part_in_window =
        quota.rate_ / domains * std::chrono::duration<double>(window).count();
    const double most =
        part_in_window * (1 + largest_drift) + quota.burst_ / domains;
    for (const std::size_t nodes : {1, 2, 3, 15})
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            failure_domain domain(nodes, seed);
            domain.run_troubled();
            cr_expect(
                static_cast<double>(domain.in_window()) <= most,
                "%zu nodes, seed %u: %llu tokens, at most %.0f", nodes, seed,
                static_cast<unsigned long long>(domain.in_window()), most);
            cr_expect(
                domain.in_window() > 0, "%zu nodes, seed %u", nodes, seed);
        }
    }
}

// Guards against a part of the quota that no node grants after the troubles
// have ended.
Test(share_loans, one_grantor_has_the_whole_part_after_troubles)
{
    for (const std::size_t nodes : {1, 2, 3, 15})
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            failure_domain domain(nodes, seed);
            domain.run_troubled();
            domain.run_calm(recovery_time);
            cr_expect(
                domain.share_of_first() == 1, "%zu nodes, seed %u: %f", nodes,
                seed, domain.share_of_first());
        }
    }
}

// Guards against a restarted node that lends its share although an earlier
// process lent it to another node just before.
Test(share_loans, a_restarted_node_waits_for_loans_of_the_earlier_process)
{
    constexpr boot_time started{1000s};
    share_lender lender(started);
    const vm_id borrower{"vm-2"};
    cr_assert(!lender.lend(borrower, started + share_loan_time));
    cr_assert(
        lender.lend(borrower, started + share_loan_time + share_loan_margin));
}

// Guards against a part that stays without a grantor after a planned stop.
Test(share_loans, a_share_is_free_at_once_when_its_borrower_has_stopped)
{
    constexpr boot_time now{1000s};
    share_lender lender(now - 1h);
    cr_assert(lender.lend(vm_id{"vm-1"}, now));
    cr_assert(!lender.lend(vm_id{"vm-2"}, now + 1s));
    lender.release(vm_id{"vm-2"});
    cr_assert(!lender.lend(vm_id{"vm-2"}, now + 1s));
    lender.release(vm_id{"vm-1"});
    cr_assert(lender.lend(vm_id{"vm-2"}, now + 1s));
    cr_assert(!lender.lend(vm_id{"vm-1"}, now + 1s));
}
