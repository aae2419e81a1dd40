#include "node/join_agent.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "node/push_agent.hpp"

namespace hemlockshelf {

namespace {

constexpr std::chrono::milliseconds query_deadline{1000};
constexpr std::chrono::milliseconds round_interval{300};
constexpr std::chrono::milliseconds directory_query_interval{1000};
// A query to a contact that is gone lasts until its deadline. After the first
// answer, the node waits for the others no longer than the round-trip time
// between regions.
constexpr std::chrono::milliseconds further_answers_wait{60};
// Number of peers from which a joining node requests records.
constexpr std::size_t record_sources = 2;
// Number of contacts to which a joining node sends its record, so that the
// nodes of a small deployment that start together learn of each other at once.
// In a larger one they learn of it by pushes.
constexpr std::size_t record_receivers = 24;

} // namespace

join_agent::join_agent(
    control_context& context,
    push_agent& pushes,
    repair_agent& repairs,
    std::function<void()> query_directory,
    acknowledged_handler on_acknowledged)
    : context_(context), pushes_(pushes), repairs_(repairs),
      query_directory_(std::move(query_directory)),
      on_acknowledged_(std::move(on_acknowledged))
{}

void join_agent::start(bool needs_platform)
{
    needs_platform_ = needs_platform;
    ++round_;
    unanswered_ = 0;
    exchanges_ = 0;
    answers_.clear();
    syncing_ = false;
    record_sent_ = false;
    directory_queried_ = false;
    platform_answered_ = false;
    started_at_ = context_.time_.now();
    had_revision_ = context_.config_.current_revision() > revision{0};
    next_round_ = started_at_;
    contacts_ = context_.bootstrap_contacts_;
    for (const auto& vm : peers_in(context_, context_.self_.failure_domain_))
    {
        if (const auto peer = address_of(context_, vm))
        {
            contacts_.push_back(peer->endpoint_);
        }
    }
    std::erase(contacts_, context_.settings_.advertised_control_);
}

void join_agent::add_contacts(const std::vector<endpoint>& contacts)
{
    directory_empty_ = true;
    for (const auto& contact : contacts)
    {
        if (contact != context_.settings_.advertised_control_)
        {
            contacts_.push_back(contact);
            directory_empty_ = false;
        }
    }
    if (!contacts_.empty() && answers_.empty())
    {
        query_peers();
    }
}

void join_agent::record_platform_head(revision head)
{
    platform_answered_ = true;
    platform_head_ = std::max(platform_head_, head);
}

bool join_agent::tick()
{
    const auto now = context_.time_.now();
    if (answers_.empty() && now >= next_round_)
    {
        query_peers();
    }
    return is_complete();
}

void join_agent::query_peers()
{
    next_round_ = context_.time_.now() + round_interval;
    if (contacts_.empty())
    {
        // Query again, because the platform may not have answered the last
        // query.
        const auto now = context_.time_.now();
        if (!std::exchange(directory_queried_, true) ||
            now >= next_directory_query_)
        {
            next_directory_query_ = now + directory_query_interval;
            query_directory_();
        }
        return;
    }
    std::ranges::shuffle(contacts_, context_.random_);
    const auto count =
        std::min(contacts_.size(), context_.settings_.membership_.join_peers_);
    unanswered_ += count;
    if (!std::exchange(record_sent_, true))
    {
        send_record();
    }
    auto query = own_heartbeat(context_);
    query.joining_ = true;
    for (std::size_t index = 0; index < count; ++index)
    {
        const peer_address peer{contacts_.at(index), {}};
        context_.network_.heartbeat(
            peer, query, query_deadline,
            [this, peer,
             round = round_](const result<heartbeat_message>& answer)
            {
                if (answer && answer->acknowledged_)
                {
                    on_acknowledged_(*answer->acknowledged_);
                }
                if (round == round_)
                {
                    on_answer(peer, answer);
                }
            });
    }
}

void join_agent::send_record()
{
    const auto own = context_.members_.find(context_.self_.vm_);
    if (!own)
    {
        return;
    }
    const auto count = std::min(contacts_.size(), record_receivers);
    for (std::size_t index = 0; index < count; ++index)
    {
        pushes_.send_records({contacts_.at(index), {}}, {to_update(*own)});
    }
}

void join_agent::on_answer(
    const peer_address& peer, const result<heartbeat_message>& answer)
{
    --unanswered_;
    if (answer)
    {
        repairs_.record_revision(answer->revision_);
        answers_.push_back({peer, answer->revision_});
    }
    if (answers_.size() == 1 && answer && unanswered_ > 0)
    {
        context_.network_.after(
            further_answers_wait,
            [this, round = round_]
            {
                if (round == round_)
                {
                    sync_with_peers();
                }
            });
    }
    if (unanswered_ > 0)
    {
        return;
    }
    if (!answers_.empty())
    {
        sync_with_peers();
        return;
    }
    // All contacts from the settings may be gone; the directory is more recent.
    if (!std::exchange(directory_queried_, true))
    {
        query_directory_();
    }
}

void join_agent::sync_with_peers()
{
    if (std::exchange(syncing_, true))
    {
        return;
    }
    std::ranges::sort(
        answers_,
        [](const answered_peer& left, const answered_peer& right)
        {
            return left.revision_ > right.revision_;
        });
    exchanges_ = std::min(answers_.size(), record_sources);
    const auto finish = [this, round = round_](bool)
    {
        if (round == round_)
        {
            --exchanges_;
        }
    };
    const auto count = exchanges_;
    for (std::size_t index = 0; index < count; ++index)
    {
        repairs_.exchange_records(answers_.at(index).peer_, finish);
    }
    const auto& best = answers_.front();
    if (best.revision_ > context_.config_.current_revision())
    {
        repairs_.fetch_from(best.peer_, [](bool) {});
    }
}

bool join_agent::is_complete() const
{
    const auto current = context_.config_.current_revision();
    const bool timed_out = context_.time_.now() - started_at_ >=
                           context_.settings_.membership_.join_timeout_;
    const bool peers_done =
        knows_members() && current >= answers_.front().revision_;
    const bool platform_done = platform_answered_ && current >= platform_head_;
    // After a pause, a node that reaches neither peers nor the platform
    // continues with its previous revision.
    if (had_revision_ && answers_.empty() && !platform_answered_)
    {
        return timed_out;
    }
    if (peers_done)
    {
        return !needs_platform_ || platform_done ||
               (!platform_answered_ && timed_out);
    }
    return platform_done && answers_.empty() && (is_alone() || timed_out);
}

} // namespace hemlockshelf
