#include "node/publication_readers.hpp"

#include <utility>

namespace hemlockshelf {

publication_readers::publication_readers(control_context& context)
    : context_(context)
{}

bool publication_readers::update()
{
    bool changed = false;
    for (const auto& [domain, region] : context_.members_.domains())
    {
        auto members = context_.members_.members_in_domain(domain);
        auto& known = domains_[domain];
        // The list is replaced whenever a member of the domain changes.
        if (known.members_ == members)
        {
            continue;
        }
        known.candidates_ = summarize(region, *members);
        known.members_ = std::move(members);
        changed = true;
    }
    if (!changed)
    {
        return false;
    }
    std::vector<domain_candidates> candidates;
    for (const auto& [domain, known] : domains_)
    {
        candidates.push_back(known.candidates_);
    }
    auto readers = choose_publication_readers(
        candidates, context_.settings_.dissemination_.publication_readers_);
    return std::exchange(readers_, std::move(readers)) != readers_;
}

domain_candidates publication_readers::summarize(
    const region_id& region, const member_table::entry_pointers& members) const
{
    std::vector<publication_candidate> candidates;
    for (const auto& entry : members)
    {
        const auto& record = entry->record_;
        const bool is_self = record.vm_ == context_.self_.vm_;
        const bool is_usable =
            may_answer(*entry) && entry->liveness_ != liveness::unreachable;
        if (is_self || is_usable)
        {
            candidates.push_back(
                {record.vm_, record.link_, record.platform_lost_,
                 record.platform_round_trip_});
        }
    }
    return summarize_domain(
        region, std::move(candidates),
        context_.settings_.dissemination_.publication_readers_);
}

std::optional<std::size_t> publication_readers::own_rank() const
{
    return rank_among(context_, readers_);
}

} // namespace hemlockshelf
