#include "node/quota_agent.hpp"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/dissemination/readers.hpp"

namespace hemlockshelf {

namespace {

// Round trip between regions and the time that a busy node needs to answer.
constexpr std::chrono::milliseconds ask_deadline{120};

// The entry does not wait longer for a decision.
constexpr std::chrono::milliseconds longest_wait{300};

// Time for which a grantor that has not answered is not asked again, so that
// each request does not wait for its deadline.
constexpr std::chrono::milliseconds silence_memory{300};

// Time after which a round is given up whose answers have been lost.
constexpr std::chrono::milliseconds longest_round_time{1000};

// A loan outlasts two questions that are lost or late.
constexpr std::chrono::milliseconds loan_interval = share_loan_time / 3;
constexpr std::chrono::milliseconds loan_deadline = share_loan_time / 2;

std::optional<vm_id> choose_grantor(
    const failure_domain_id& domain,
    const member_table::entry_pointers& members)
{
    std::vector<reader_candidate> candidates;
    for (const auto& entry : members)
    {
        // An unreachable member stays the grantor, so that a partition makes
        // no second one.
        if (may_answer(*entry))
        {
            candidates.push_back({entry->record_.vm_, entry->record_.link_});
        }
    }
    auto chosen = choose_platform_readers(domain, std::move(candidates), 1);
    return chosen.empty() ? std::nullopt
                          : std::optional(std::move(chosen.front()));
}

tl::unexpected<error> exceeded(std::chrono::milliseconds wait)
{
    error failure{
        error_kind::quota_exceeded,
        fmt::format(
            "the account has used up its quota, for another {} ms",
            wait.count())};
    failure.retry_after_ = wait;
    return tl::unexpected<error>(std::move(failure));
}

} // namespace

quota_agent::quota_agent(control_context& context)
    : context_(context), settings_(context.settings_.quota_),
      own_share_(context.time_.boot_now())
{}

std::optional<result<void>> quota_agent::try_admit(
    const client_account_id& account, const account_quota& quota)
{
    if (settings_.window_.count() == 0 || quota.rate_ <= 0)
    {
        return result<void>{};
    }
    const auto now = context_.time_.boot_now();
    const std::lock_guard lock(mutex_);
    auto& state = accounts_[account];
    state.quota_ = quota;
    if (state.tokens_.take(now))
    {
        if (state.tokens_.wanted(state.waiting_.size(), now) > 0)
        {
            schedule_rounds();
        }
        return result<void>{};
    }
    if (const auto wait = state.tokens_.exhausted_for(now))
    {
        return result<void>(exceeded(*wait));
    }
    return std::nullopt;
}

void quota_agent::admit_later(
    const client_account_id& account, const account_quota& quota, callback done)
{
    const std::lock_guard lock(mutex_);
    auto& state = accounts_[account];
    state.quota_ = quota;
    state.waiting_.push_back(
        {std::move(done), context_.time_.boot_now() + longest_wait});
    schedule_rounds();
}

// Requires the lock.
void quota_agent::schedule_rounds()
{
    if (std::exchange(scheduled_, true))
    {
        return;
    }
    context_.network_.post(
        [this]
        {
            begin_rounds();
        });
}

void quota_agent::begin_rounds()
{
    account_list accounts;
    {
        const auto now = context_.time_.boot_now();
        const std::lock_guard lock(mutex_);
        scheduled_ = false;
        for (auto& [account, state] : accounts_)
        {
            if (state.tokens_.wanted(state.waiting_.size(), now) > 0)
            {
                state.tokens_.begin_round(grantors_.size(), now);
                accounts.push_back(account);
            }
        }
    }
    continue_rounds(accounts);
}

void quota_agent::continue_rounds(const account_list& accounts)
{
    decided_calls decided;
    std::map<std::size_t, account_list> by_position;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& account : accounts)
        {
            auto& state = accounts_[account];
            if (advance(state, decided))
            {
                by_position[state.tokens_.next_grantor().value_or(0)].push_back(
                    account);
            }
        }
    }
    for (const auto& [done, outcome] : decided)
    {
        done(outcome);
    }
    for (const auto& [position, asking] : by_position)
    {
        ask(position, asking);
    }
}

bool quota_agent::advance(account_state& state, decided_calls& decided)
{
    const auto now = context_.time_.boot_now();
    auto& waiting = state.waiting_;
    // Their entries no longer wait, and would not use the tokens.
    std::erase_if(
        waiting,
        [now](const waiting_request& request)
        {
            return request.expires_at_ <= now;
        });
    std::size_t served = 0;
    while (served < waiting.size() && state.tokens_.take_for_waiting(now))
    {
        decided.emplace_back(
            std::move(waiting.at(served).done_), result<void>{});
        ++served;
    }
    waiting.erase(
        waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(served));
    // Requests that came after the question: the grantor may have more.
    if (!waiting.empty() && state.tokens_.granted_all())
    {
        state.tokens_.begin_round(grantors_.size(), now);
    }
    // Tokens in advance are requested from the nearest grantor only.
    const bool is_new = served == 0 && !state.tokens_.was_answered() &&
                        state.tokens_.next_grantor() == std::size_t{0};
    if (state.tokens_.next_grantor() && (is_new || !waiting.empty()))
    {
        return true;
    }
    end_round(state, decided);
    return false;
}

void quota_agent::end_round(account_state& state, decided_calls& decided)
{
    state.tokens_.end_round(context_.time_.boot_now());
    for (auto& request : std::exchange(state.waiting_, {}))
    {
        decided.emplace_back(std::move(request.done_), refuse(state));
    }
}

result<void> quota_agent::refuse(account_state& state)
{
    const auto now = context_.time_.boot_now();
    if (const auto wait = state.tokens_.exhausted_for(now))
    {
        return exceeded(*wait);
    }
    if (state.tokens_.was_answered())
    {
        return exceeded(std::chrono::milliseconds{1});
    }
    if (state.reserve_.take(settings_, state.quota_, most_members_, now))
    {
        return {};
    }
    return make_error(
        error_kind::quota_unavailable,
        "no node that grants the account's quota answers");
}

void quota_agent::ask(std::size_t position, const account_list& accounts)
{
    const auto now = context_.time_.boot_now();
    grant_request request{context_.self_, {}};
    {
        const std::lock_guard lock(mutex_);
        for (const auto& account : accounts)
        {
            auto& state = accounts_[account];
            request.demands_.push_back(
                {account, state.tokens_.missing(state.waiting_.size(), now)});
        }
    }
    // The members may have changed since the round began.
    const auto grantor =
        position < grantors_.size() ? grantors_.at(position) : vm_id{};
    if (grantor == context_.self_.vm_)
    {
        record_answers(accounts, on_grant(request), now);
        return;
    }
    const auto silent = silent_until_.find(grantor);
    const bool is_silent =
        silent != silent_until_.end() && now < silent->second;
    const auto peer = is_silent ? std::nullopt : address_of(context_, grantor);
    if (!peer)
    {
        record_answers(
            accounts,
            make_error(error_kind::unreachable, "the grantor does not answer"),
            now);
        return;
    }
    context_.network_.grant_tokens(
        *peer, request, ask_deadline,
        [this, accounts, grantor, now](const result<grant_answer>& answer)
        {
            if (answer)
            {
                silent_until_.erase(grantor);
            }
            else
            {
                silent_until_[grantor] =
                    context_.time_.boot_now() + silence_memory;
            }
            record_answers(accounts, answer, now);
        });
}

void quota_agent::record_answers(
    const account_list& accounts,
    const result<grant_answer>& answer,
    boot_time asked_at)
{
    account_list continued;
    {
        const std::lock_guard lock(mutex_);
        const bool is_usable = answer && answer->is_grantor_ &&
                               answer->grants_.size() == accounts.size();
        for (std::size_t index = 0; index < accounts.size(); ++index)
        {
            auto& state = accounts_[accounts.at(index)];
            if (state.tokens_.in_round())
            {
                state.tokens_.record_answer(
                    is_usable && !answer->grants_.at(index).unknown_account_
                        ? std::optional(answer->grants_.at(index))
                        : std::nullopt,
                    asked_at);
                continued.push_back(accounts.at(index));
            }
        }
    }
    continue_rounds(continued);
}

grant_answer quota_agent::on_grant(const grant_request& request)
{
    grant_answer answer;
    if (!own_part_ || own_part_->share(context_.time_.boot_now()) == 0)
    {
        return answer;
    }
    answer.is_grantor_ = true;
    for (const auto& demand : request.demands_)
    {
        answer.grants_.push_back(grant(demand));
    }
    return answer;
}

token_grant quota_agent::grant(const token_demand& demand)
{
    const auto snapshot = context_.config_.current();
    const auto& rows = snapshot->tables().accounts_;
    const auto found = rows.find(row_key{demand.account_.value()});
    if (found == rows.end())
    {
        // The revision that has the account is not in force here.
        return {0, {}, true};
    }
    const auto& row = *found->second;
    if (row.requests_per_second_ <= 0)
    {
        return {demand.count_, {}};
    }
    return own_part_->grant(
        demand.account_, {row.requests_per_second_, row.burst_}, demand.count_,
        context_.time_.boot_now());
}

bool quota_agent::on_lend_share(const message_sender& sender)
{
    const auto entry = context_.members_.find(sender.vm_);
    const bool has_left =
        entry && entry->record_.state_ == upstream_state::left;
    return sender.failure_domain_ == context_.self_.failure_domain_ &&
           !has_left && own_share_.lend(sender.vm_, context_.time_.boot_now());
}

void quota_agent::set_directory(const std::vector<directory_row>& rows)
{
    listed_nodes_.clear();
    for (const auto& row : rows)
    {
        if (row.failure_domain_ == context_.self_.failure_domain_ &&
            !context_.members_.find(row.vm_))
        {
            listed_nodes_.insert(row.vm_);
        }
    }
    sharing_members_.reset();
}

void quota_agent::reset()
{
    own_part_.reset();
    own_share_.release(context_.self_.vm_);
}

void quota_agent::stop()
{
    is_stopped_ = true;
    reset();
}

void quota_agent::tick()
{
    if (settings_.window_.count() == 0)
    {
        return;
    }
    update_grantors();
    most_members_ = std::max(most_members_, context_.members_.size());
    update_own_part();
    give_up_old_rounds();
}

void quota_agent::update_own_part()
{
    const auto& borrower = own_share_.borrower();
    const auto entry =
        borrower ? context_.members_.find(*borrower) : std::nullopt;
    if (entry && entry->record_.state_ == upstream_state::left)
    {
        own_share_.release(entry->record_.vm_);
    }
    const bool is_grantor = !is_stopped_ && !grantors_.empty() &&
                            grantors_.front() == context_.self_.vm_;
    if (!is_grantor)
    {
        reset();
        context_.metrics_.set(metric_id::quota_share, {}, 0);
        return;
    }
    if (!own_part_)
    {
        own_part_.emplace(settings_);
        sharing_members_.reset();
        next_loans_ = {};
    }
    borrow_shares();
    const auto now = context_.time_.boot_now();
    own_part_->update(now);
    context_.metrics_.set(metric_id::quota_share, {}, own_part_->share(now));
}

void quota_agent::borrow_shares()
{
    const auto now = context_.time_.boot_now();
    auto members =
        context_.members_.members_in_domain(context_.self_.failure_domain_);
    if (members != sharing_members_)
    {
        own_part_->set_members(sharing_nodes(*members), now);
        sharing_members_ = std::move(members);
    }
    if (now < next_loans_ || !has_limited_accounts())
    {
        return;
    }
    next_loans_ = now + loan_interval;
    if (own_share_.lend(context_.self_.vm_, now))
    {
        own_part_->record_loan(context_.self_.vm_, now + share_loan_time, now);
    }
    for (const auto& vm : peers_in(context_, context_.self_.failure_domain_))
    {
        borrow_from(vm);
    }
}

std::set<vm_id>
quota_agent::sharing_nodes(const member_table::entry_pointers& members)
{
    std::set<vm_id> sharing{context_.self_.vm_};
    for (const auto& entry : members)
    {
        const auto& record = entry->record_;
        listed_nodes_.erase(record.vm_);
        // Those that do not answer may lend their shares to another grantor.
        if (record.state_ != upstream_state::left)
        {
            sharing.insert(record.vm_);
        }
    }
    sharing.insert(listed_nodes_.begin(), listed_nodes_.end());
    return sharing;
}

void quota_agent::borrow_from(const vm_id& vm)
{
    const auto peer = address_of(context_, vm);
    if (!peer)
    {
        return;
    }
    // The loan counts from the question: the answer may have been delayed.
    const auto asked_at = context_.time_.boot_now();
    context_.network_.lend_share(
        *peer, context_.self_, loan_deadline,
        [this, vm, asked_at](const result<bool>& lent)
        {
            if (lent && *lent && own_part_)
            {
                own_part_->record_loan(
                    vm, asked_at + share_loan_time, context_.time_.boot_now());
            }
        });
}

bool quota_agent::has_limited_accounts() const
{
    return std::ranges::any_of(
        context_.config_.current()->tables().accounts_,
        [](const auto& item)
        {
            return item.second->requests_per_second_ > 0;
        });
}

void quota_agent::give_up_old_rounds()
{
    decided_calls decided;
    {
        const auto now = context_.time_.boot_now();
        const std::lock_guard lock(mutex_);
        for (auto& [account, state] : accounts_)
        {
            if (state.tokens_.in_round() &&
                now - state.tokens_.round_began_at() > longest_round_time)
            {
                end_round(state, decided);
            }
        }
    }
    for (const auto& [done, outcome] : decided)
    {
        done(outcome);
    }
}

void quota_agent::update_grantors()
{
    bool changed = false;
    for (const auto& [domain, region] : context_.members_.domains())
    {
        auto members = context_.members_.members_in_domain(domain);
        auto& known = domains_[domain];
        if (known.members_ == members)
        {
            continue;
        }
        auto grantor = choose_grantor(domain, *members);
        changed = changed || grantor != known.grantor_;
        known = {std::move(members), std::move(grantor)};
    }
    if (!changed)
    {
        return;
    }
    grantors_.clear();
    const auto& own = context_.self_.failure_domain_;
    for (const auto& [domain, known] : domains_)
    {
        if (known.grantor_)
        {
            grantors_.insert(
                domain == own ? grantors_.begin() : grantors_.end(),
                *known.grantor_);
        }
    }
}

} // namespace hemlockshelf
