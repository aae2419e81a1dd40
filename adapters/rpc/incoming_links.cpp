#include "adapters/rpc/incoming_links.hpp"

#include <chrono>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "adapters/rpc/control_service.hpp"
#include "adapters/telemetry/event_log.hpp"

namespace hemlockshelf {

namespace {

void disable_delay(kj::AsyncIoStream& socket)
{
    const int on = 1;
    socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

incoming_links::incoming_links(
    const rpc_settings& settings,
    control_handler& handler,
    metric_sink& metrics,
    frame_codec& codec,
    kj::Own<kj::ConnectionReceiver> listener)
    : settings_(settings), handler_(handler), metrics_(metrics), codec_(codec),
      listener_(kj::mv(listener)), tasks_(*this)
{
    tasks_.add(accept_next());
}

kj::Promise<void> incoming_links::accept_next()
{
    return listener_->accept().then(
        [this](kj::Own<kj::AsyncIoStream> socket)
        {
            if (connections_.size() < settings_.max_incoming_)
            {
                add(kj::mv(socket));
            }
            return accept_next();
        });
}

void incoming_links::add(kj::Own<kj::AsyncIoStream> socket)
{
    disable_delay(*socket);
    const auto id = next_id_++;
    auto meter = std::make_shared<byte_meter>(metrics_);
    auto connection = kj::heap<control_connection>(
        kj::mv(socket), codec_, meter,
        kj::heap<control_service>(settings_.self_, handler_, meter));
    // The connection must not be destroyed from its own callback.
    tasks_.add(connection->when_closed().then(
        [this, id]
        {
            return kj::evalLater(
                [this, id]
                {
                    connections_.erase(id);
                });
        }));
    connections_.emplace(
        id, incoming{
                std::move(meter), kj::mv(connection), 0,
                std::chrono::steady_clock::now()});
}

void incoming_links::sweep()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto& [id, held] : connections_)
    {
        const auto received = held.meter_->total_received();
        if (received != held.received_at_sweep_)
        {
            held.received_at_sweep_ = received;
            held.last_heard_ = now;
        }
    }
    std::erase_if(
        connections_,
        [&](const auto& item)
        {
            return now - item.second.last_heard_ > settings_.silence_timeout_;
        });
}

void incoming_links::taskFailed(kj::Exception&& exception)
{
    log_event<log_event_id::incoming_link_failed>(
        log_fields::detail(exception.getDescription().cStr()));
}

} // namespace hemlockshelf
