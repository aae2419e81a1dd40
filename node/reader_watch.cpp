#include "node/reader_watch.hpp"

#include <chrono>
#include <utility>
#include <vector>

namespace hemlockshelf {

namespace {

/// Nodes of a failure domain that watch a reader. The second one covers a
/// failure of the first.
constexpr std::size_t watching_nodes = 2;

/// Interval at which a node without a configuration asks for one.
constexpr std::chrono::milliseconds search_interval{200};

/// Searches while no other node has reported a configuration. There may be
/// none yet, and each search may need a connection.
constexpr int max_blind_searches = 8;

} // namespace

reader_watch::reader_watch(
    control_context& context,
    const publication_readers& readers,
    push_agent& pushes,
    repair_agent& repairs,
    answer_handler on_heard)
    : context_(context), readers_(readers), pushes_(pushes), repairs_(repairs),
      on_heard_(std::move(on_heard))
{}

void reader_watch::tick()
{
    if (outstanding_ > 0 || readers_.all().empty() || !is_due())
    {
        return;
    }
    answered_ = false;
    ask(0);
}

// The chosen nodes may be silent, and their neighbours need seconds to notice
// it. The other nodes take turns, so that as many of them as are chosen ask in
// each tick.
bool reader_watch::is_due()
{
    if (is_watching())
    {
        return true;
    }
    const auto members =
        peers_in(context_, context_.self_.failure_domain_).size() + 1;
    if (readers_.own_rank() || ++ticks_ < members / watching_nodes)
    {
        return false;
    }
    ticks_ = 0;
    return true;
}

void reader_watch::ask(std::size_t distance)
{
    const auto& readers = readers_.all();
    if (distance >= readers.size())
    {
        return;
    }
    asked_ = distance + 1;
    const auto index = (first_ + distance) % readers.size();
    const auto peer = address_of(context_, readers.at(index));
    if (!peer)
    {
        ++failures_;
        ask(distance + 1);
        return;
    }
    ++outstanding_;
    const auto ask_further = [this, distance]
    {
        if (!answered_ && asked_ == distance + 1)
        {
            ask(distance + 1);
        }
    };
    const auto& settings = context_.settings_.dissemination_;
    context_.network_.heartbeat(
        *peer, own_heartbeat(context_), settings.cross_domain_push_deadline_,
        [this, index, peer = *peer, asked_at = context_.time_.boot_now(),
         ask_further](const result<heartbeat_message>& answer)
        {
            --outstanding_;
            if (answer)
            {
                first_ = index;
                failures_ = 0;
                answered_ = true;
                on_heard_(*answer, asked_at);
                on_answer(peer, answer->revision_);
            }
            else if (!answered_)
            {
                ++failures_;
                ask_further();
            }
        });
    context_.network_.after(settings.reader_hedge_delay_, ask_further);
}

void reader_watch::find_configuration()
{
    const auto now = context_.time_.now();
    const bool is_known = repairs_.highest_seen() > revision{0};
    if (searching_ || now < next_search_ ||
        context_.config_.current_revision() > revision{0} ||
        (!is_known && blind_searches_ >= max_blind_searches))
    {
        return;
    }
    blind_searches_ += is_known ? 0 : 1;
    next_search_ = now + search_interval;
    const auto peer = choose_member();
    if (!peer)
    {
        return;
    }
    searching_ = true;
    context_.network_.heartbeat(
        *peer, own_heartbeat(context_),
        context_.settings_.dissemination_.cross_domain_push_deadline_,
        [this, peer = *peer](const result<heartbeat_message>& answer)
        {
            searching_ = false;
            if (answer &&
                answer->revision_ > context_.config_.current_revision())
            {
                repairs_.fetch_from(peer, [](bool) {});
            }
        });
}

std::optional<peer_address> reader_watch::choose_member()
{
    std::vector<vm_id> members;
    for (const auto& [domain, region] : context_.members_.domains())
    {
        if (region == context_.self_.region_)
        {
            const auto peers = peers_in(context_, domain);
            members.insert(members.end(), peers.begin(), peers.end());
        }
    }
    if (members.empty())
    {
        return std::nullopt;
    }
    return address_of(
        context_, members.at(context_.random_() % members.size()));
}

bool reader_watch::has_lost_readers() const
{
    return failures_ > 0 && failures_ >= readers_.all().size() && is_watching();
}

bool reader_watch::is_watching() const
{
    return !readers_.own_rank() && rendezvous_rank(context_, watching_nodes);
}

void reader_watch::on_answer(const peer_address& peer, revision held)
{
    repairs_.record_revision(held);
    if (held <= context_.config_.current_revision())
    {
        return;
    }
    // A push in progress may bring it.
    context_.network_.after(
        context_.settings_.dissemination_.repair_grace_,
        [this, peer, held]
        {
            fetch_and_push(peer, held);
        });
}

void reader_watch::fetch_and_push(const peer_address& peer, revision seen)
{
    const auto before = context_.config_.current_revision();
    if (before >= seen)
    {
        return;
    }
    repairs_.fetch_from(
        peer,
        [this, before](bool)
        {
            const auto deltas = context_.config_.deltas_after(before);
            if (deltas && !deltas->empty())
            {
                pushes_.push_deltas(*deltas, push_scope::domain);
            }
        });
}

} // namespace hemlockshelf
