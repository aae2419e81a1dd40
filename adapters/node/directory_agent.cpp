#include "adapters/node/directory_agent.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "adapters/node/directory.hpp"
#include "hemlockshelf/dissemination/readers.hpp"

namespace hemlockshelf {

directory_agent::directory_agent(
    control_context& context, platform_poller& poller)
    : context_(context), poller_(poller)
{}

void directory_agent::look_up(
    std::function<void(const std::vector<endpoint>&)> found)
{
    poller_.run_task(
        [&network = context_.network_,
         found = std::move(found)](table_service& tables)
        {
            network.post(
                [found, contacts = read_directory(tables)]
                {
                    found(contacts);
                });
        });
}

void directory_agent::maintain()
{
    const auto now = context_.time_.now();
    if (now < next_write_)
    {
        return;
    }
    const auto& settings = context_.settings_;
    next_write_ = now + settings.membership_.directory_interval_;
    auto live = peers_in(context_, settings.failure_domain_);
    live.push_back(settings.vm_);
    const auto holders = choose_readers(
        settings.failure_domain_, std::move(live),
        settings.membership_.directory_rows_);
    const auto found = std::ranges::find(holders, settings.vm_);
    if (found == holders.end())
    {
        return;
    }
    const directory_row row{
        settings.failure_domain_,
        static_cast<std::size_t>(found - holders.begin()), settings.vm_,
        settings.advertised_control_};
    poller_.run_task(
        [row](table_service& tables)
        {
            write_directory_row(tables, row);
        });
}

} // namespace hemlockshelf
