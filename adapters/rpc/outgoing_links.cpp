#include "adapters/rpc/outgoing_links.hpp"

#include <chrono>
#include <utility>

#include <kj/debug.h>

#include "adapters/rpc/sockets.hpp"
#include "adapters/telemetry/event_log.hpp"

namespace hemlockshelf {

outgoing_links::outgoing_links(
    const rpc_settings& settings,
    metric_sink& metrics,
    frame_codec& codec,
    kj::LowLevelAsyncIoProvider& provider)
    : settings_(settings), metrics_(metrics), codec_(codec),
      provider_(provider), tasks_(*this)
{}

std::shared_ptr<outgoing_link> outgoing_links::find(const peer_address& peer)
{
    const auto now = std::chrono::steady_clock::now();
    auto& link = links_[peer.endpoint_];
    const bool is_new = !link;
    if (is_new)
    {
        link = std::make_shared<outgoing_link>();
    }
    link->last_used_ = now;
    if (link->session_)
    {
        return link;
    }
    if (!is_new)
    {
        if (!link->link_.may_connect(now))
        {
            return nullptr;
        }
        link->link_.reconnect();
    }
    connect(link, peer);
    return link;
}

void outgoing_links::connect(
    const std::shared_ptr<outgoing_link>& link, const peer_address& peer)
{
    auto session = std::make_shared<outgoing_session>();
    session->meter_ = std::make_shared<byte_meter>(metrics_);
    session->meter_->set_scope(peer.scope_);
    link->session_ = session;
    auto connected = kj::evalNow(
        [&]
        {
            return connect_socket(
                provider_, peer.endpoint_, settings_.source_address_);
        });
    session->client_ = connected.then(
        [this, weak_link = std::weak_ptr(link),
         weak_session = std::weak_ptr(session)](
            kj::Own<kj::AsyncIoStream> socket) -> wire::Control::Client
        {
            const auto held = weak_session.lock();
            if (!held)
            {
                kj::throwFatalException(KJ_EXCEPTION(
                    DISCONNECTED, "the link was closed meanwhile"));
            }
            auto connection = kj::heap<control_connection>(
                kj::mv(socket), codec_, held->meter_);
            auto client = connection->bootstrap();
            tasks_.add(connection->when_closed().then(
                [this, weak_link, weak_session]
                {
                    const auto closed_link = weak_link.lock();
                    const auto closed_session = weak_session.lock();
                    if (closed_link && closed_session)
                    {
                        note_disconnected(*closed_link, closed_session);
                    }
                }));
            held->connection_ = kj::mv(connection);
            return client;
        });
}

void outgoing_links::note_answered(outgoing_link& link)
{
    link.link_.on_answered();
}

void outgoing_links::note_timed_out(
    outgoing_link& link,
    const std::shared_ptr<outgoing_session>& session,
    std::uint64_t received_before)
{
    if (link.session_ != session)
    {
        return;
    }
    const bool heard = session->meter_->total_received() > received_before;
    link.link_.on_timeout(heard, std::chrono::steady_clock::now(), random_());
    close_if_broken(link);
}

void outgoing_links::note_disconnected(
    outgoing_link& link, const std::shared_ptr<outgoing_session>& session)
{
    if (link.session_ != session)
    {
        return;
    }
    link.link_.on_disconnected(std::chrono::steady_clock::now(), random_());
    close_if_broken(link);
}

void outgoing_links::close_if_broken(outgoing_link& link)
{
    if (link.link_.state() != link_state::broken)
    {
        return;
    }
    // The session may be in use further up the stack; it is destroyed by the
    // loop.
    tasks_.add(kj::evalLater(
        [session = std::move(link.session_)]() mutable
        {
            session.reset();
        }));
    link.session_ = nullptr;
}

void outgoing_links::sweep()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(
        links_,
        [&](const auto& item)
        {
            return now - item.second->last_used_ > settings_.idle_timeout_;
        });
}

void outgoing_links::taskFailed(kj::Exception&& exception)
{
    log_event<log_event_id::outgoing_link_failed>(
        log_fields::detail(exception.getDescription().cStr()));
}

} // namespace hemlockshelf
