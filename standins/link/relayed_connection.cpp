#include "standins/link/relayed_connection.hpp"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "adapters/http/tcp_endpoint.hpp"

namespace hemlockshelf {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t read_size = 16UL * 1024;
/// Limit of the bytes in flight per direction, about the bandwidth-delay
/// product of 30 Mbit/s and 40 ms.
constexpr std::size_t max_queued_bytes = 256UL * 1024;

link_location source_location(
    const link_network& network,
    const link_listener& listener,
    const tcp::socket& caller)
{
    if (!listener.source_domain_.empty())
    {
        return network.location_of(listener.source_domain_);
    }
    boost::system::error_code ignored;
    const auto address = caller.remote_endpoint(ignored).address();
    return network.location_of_address(address.to_string());
}

void reset_socket(tcp::socket& socket)
{
    boost::system::error_code ignored;
    // With a linger time of zero, closing the socket sends a reset.
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

relayed_connection::direction::direction(
    tcp::socket& source,
    tcp::socket& sink,
    link_location from,
    link_location to)
    : source_(source), sink_(sink), from_(std::move(from)), to_(std::move(to)),
      state_changed_(source.get_executor())
{}

relayed_connection::relayed_connection(
    link_network& network, const link_listener& listener, tcp::socket caller)
    : network_(network), listener_(listener), caller_(std::move(caller)),
      target_(caller_.get_executor()),
      forward_(
          caller_,
          target_,
          source_location(network, listener, caller_),
          network.location_of(listener.domain_)),
      backward_(target_, caller_, forward_.to_, forward_.from_)
{}

void relayed_connection::start()
{
    ++network_.counter(listener_.kind_, forward_.from_, forward_.to_)
          .connections_;
    asio::co_spawn(
        caller_.get_executor(),
        [self = shared_from_this()]
        {
            return self->run();
        },
        asio::detached);
}

void relayed_connection::apply_faults()
{
    const auto forward = network_.mode(forward_.from_, forward_.to_);
    const auto backward = network_.mode(backward_.from_, backward_.to_);
    if (forward == link_mode::cut || backward == link_mode::cut)
    {
        reset();
        return;
    }
    forward_.silent_ = forward_.silent_ || forward == link_mode::silent;
    backward_.silent_ = backward_.silent_ || backward == link_mode::silent;
}

void relayed_connection::silence(const link_rule& rule)
{
    if (rule_applies(rule, forward_.from_, forward_.to_))
    {
        forward_.silent_ = true;
        backward_.silent_ = true;
    }
}

asio::awaitable<void> relayed_connection::run()
{
    apply_faults();
    if (was_reset_)
    {
        co_return;
    }
    // The handshake takes one round trip before the first byte can be sent.
    const auto round_trip =
        network_.one_way_delay(forward_.from_, forward_.to_) * 2;
    asio::steady_timer handshake(caller_.get_executor(), round_trip);
    co_await handshake.async_wait(asio::use_awaitable);
    boost::system::error_code failure;
    const auto target = to_tcp(listener_.target_);
    co_await target_.async_connect(
        target, asio::redirect_error(asio::use_awaitable, failure));
    if (failure || was_reset_)
    {
        reset();
        co_return;
    }
    caller_.set_option(tcp::no_delay(true), failure);
    target_.set_option(tcp::no_delay(true), failure);
    spawn_loops(forward_);
    spawn_loops(backward_);
}

void relayed_connection::spawn_loops(direction& way)
{
    asio::co_spawn(
        caller_.get_executor(),
        [self = shared_from_this(), &way]
        {
            return self->read_loop(way);
        },
        asio::detached);
    asio::co_spawn(
        caller_.get_executor(),
        [self = shared_from_this(), &way]
        {
            return self->write_loop(way);
        },
        asio::detached);
}

asio::awaitable<void> relayed_connection::read_loop(direction& way)
{
    std::array<char, read_size> buffer{};
    while (!was_reset_)
    {
        boost::system::error_code failure;
        const auto size = co_await way.source_.async_read_some(
            asio::buffer(buffer),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure && failure != asio::error::eof)
        {
            if (!way.silent_)
            {
                reset();
            }
            co_return;
        }
        if (way.silent_)
        {
            network_.counter(listener_.kind_, way.from_, way.to_)
                .dropped_bytes_ += size;
        }
        else
        {
            enqueue(way, std::string(buffer.data(), size));
        }
        if (failure)
        {
            co_return;
        }
        co_await wait_for_queue_space(way);
    }
}

asio::awaitable<void> relayed_connection::write_loop(direction& way)
{
    while (!was_reset_)
    {
        if (way.queue_.empty())
        {
            co_await wait_until(way, link_network::time_point::max());
            continue;
        }
        auto next = std::move(way.queue_.front());
        way.queue_.pop_front();
        asio::steady_timer arrival(caller_.get_executor(), next.arrives_at_);
        co_await arrival.async_wait(asio::use_awaitable);
        if (was_reset_ || way.silent_)
        {
            co_return;
        }
        boost::system::error_code failure;
        if (next.bytes_.empty())
        {
            way.sink_.shutdown(tcp::socket::shutdown_send, failure);
            co_return;
        }
        co_await asio::async_write(
            way.sink_, asio::buffer(next.bytes_),
            asio::redirect_error(asio::use_awaitable, failure));
        way.queued_bytes_ -= next.bytes_.size();
        way.state_changed_.cancel();
        if (failure)
        {
            handle_sink_failure(way);
        }
    }
}

void relayed_connection::handle_sink_failure(direction& way)
{
    const auto& back = &way == &forward_ ? backward_ : forward_;
    if (!back.silent_)
    {
        reset();
        return;
    }
    // The receiver's reset would cross the silent direction, so the sender must
    // not see it.
    way.silent_ = true;
    way.state_changed_.cancel();
}

asio::awaitable<void> relayed_connection::wait_for_queue_space(direction& way)
{
    while (!was_reset_ && way.queued_bytes_ > max_queued_bytes && !way.silent_)
    {
        co_await wait_until(way, link_network::time_point::max());
    }
}

asio::awaitable<void>
relayed_connection::wait_until(direction& way, link_network::time_point until)
{
    boost::system::error_code ignored;
    way.state_changed_.expires_at(until);
    co_await way.state_changed_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

void relayed_connection::enqueue(direction& way, std::string bytes)
{
    const auto now = std::chrono::steady_clock::now();
    const auto arrives_at =
        network_.schedule_transfer(way.from_, way.to_, bytes.size(), now);
    network_.counter(listener_.kind_, way.from_, way.to_).bytes_ +=
        bytes.size();
    way.queued_bytes_ += bytes.size();
    way.queue_.push_back({arrives_at, std::move(bytes)});
    way.state_changed_.cancel();
}

void relayed_connection::reset()
{
    was_reset_ = true;
    reset_socket(caller_);
    reset_socket(target_);
    forward_.state_changed_.cancel();
    backward_.state_changed_.cancel();
}

} // namespace hemlockshelf
