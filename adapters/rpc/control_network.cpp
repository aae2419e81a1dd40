#include "adapters/rpc/control_network.hpp"

#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <kj/async-io.h>

#include "adapters/rpc/incoming_links.hpp"
#include "adapters/rpc/message_codec.hpp"
#include "adapters/rpc/outgoing_links.hpp"
#include "adapters/rpc/sockets.hpp"
#include "adapters/telemetry/event_log.hpp"

namespace hemlockshelf {

namespace {

// By default kj looks for timers and I/O only when its queue is empty. Under a
// steady load of calls the timers, among them the node's tick, would be late.
constexpr unsigned max_turns_without_poll = 64;

kj::Duration to_kj(std::chrono::milliseconds value)
{
    return value.count() * kj::MILLISECONDS;
}

error to_error(const kj::Exception& exception)
{
    const bool late = exception.getType() == kj::Exception::Type::OVERLOADED;
    const bool lost = exception.getType() == kj::Exception::Type::DISCONNECTED;
    return {
        late   ? error_kind::deadline_exceeded
        : lost ? error_kind::unreachable
               : error_kind::internal,
        std::string("control call: ") + exception.getDescription().cStr()};
}

} // namespace

std::string_view scope_between(const tree_member& self, const tree_member& peer)
{
    if (self.region_ != peer.region_)
    {
        return "region";
    }
    return self.failure_domain_ != peer.failure_domain_ ? "domain" : "local";
}

/// What lives on the loop's thread.
class control_loop final : private kj::TaskSet::ErrorHandler
{
public:
    control_loop(
        const rpc_settings& settings,
        control_handler& handler,
        metric_sink& metrics,
        kj::AsyncIoContext& io,
        kj::AutoCloseFd listener)
        : settings_(settings), metrics_(metrics),
          timer_(io.provider->getTimer()),
          outgoing_(settings, metrics, codec_, *io.lowLevelProvider),
          incoming_(
              settings,
              handler,
              metrics,
              codec_,
              io.lowLevelProvider->wrapListenSocketFd(
                  kj::mv(listener), listener_flags)),
          tasks_(*this)
    {
        tasks_.add(sweep_periodically());
    }

    void after(std::chrono::milliseconds delay, std::function<void()> task)
    {
        tasks_.add(timer_.afterDelay(to_kj(delay))
                       .then(
                           [task = std::move(task)]
                           {
                               task();
                           }));
    }

    /// Sends what `send` makes and passes on what `read_answer` makes of the
    /// answer.
    template <class Value, class Send, class ReadAnswer>
    void call(
        std::string_view message,
        const peer_address& peer,
        std::chrono::milliseconds deadline,
        const Send& send,
        ReadAnswer read_answer,
        control_network::callback<Value> done)
    {
        const auto link = outgoing_.find(peer);
        if (!link)
        {
            tasks_.add(kj::evalLater(
                [done = std::move(done)]
                {
                    done(make_error(
                        error_kind::unreachable,
                        "control call: the link is being replaced"));
                }));
            return;
        }
        metrics_.add(metric_id::control_messages, message);
        const auto session = link->session_;
        const auto before = session->meter_->total_received();
        auto answer =
            send(session->client_)
                .then(
                    [read_answer, session](auto&& response) -> Value
                    {
                        return read_answer(response, *session->meter_);
                    });
        tasks_.add(timer_.timeoutAfter(to_kj(deadline), kj::mv(answer))
                       .then(
                           [this, link, done](Value&& value)
                           {
                               outgoing_.note_answered(*link);
                               done(std::move(value));
                           },
                           [this, link, session, before,
                            done](kj::Exception&& exception)
                           {
                               note_failure(exception, *link, session, before);
                               done(tl::unexpected<error>(to_error(exception)));
                           }));
    }

private:
    static constexpr unsigned listener_flags =
        kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
        kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK;

    void note_failure(
        const kj::Exception& exception,
        outgoing_link& link,
        const std::shared_ptr<outgoing_session>& session,
        std::uint64_t received_before)
    {
        switch (exception.getType())
        {
        case kj::Exception::Type::OVERLOADED:
            outgoing_.note_timed_out(link, session, received_before);
            break;
        case kj::Exception::Type::FAILED:
        case kj::Exception::Type::UNIMPLEMENTED:
            // The peer answered with an error, or what it sent could not be
            // read; in both cases the link is not to be trusted further.
        case kj::Exception::Type::DISCONNECTED:
            outgoing_.note_disconnected(link, session);
            break;
        }
    }

    kj::Promise<void> sweep_periodically()
    {
        return timer_.afterDelay(to_kj(settings_.sweep_interval_))
            .then(
                [this]
                {
                    outgoing_.sweep();
                    incoming_.sweep();
                    return sweep_periodically();
                });
    }

    void taskFailed(kj::Exception&& exception) override
    {
        log_event<log_event_id::control_task_failed>(
            log_fields::detail(exception.getDescription().cStr()));
    }

    const rpc_settings& settings_;
    metric_sink& metrics_;
    kj::Timer& timer_;
    frame_codec codec_;
    outgoing_links outgoing_;
    incoming_links incoming_;
    kj::TaskSet tasks_;
};

class control_network::impl
{
public:
    impl(rpc_settings settings, control_handler& handler, metric_sink& metrics)
        : settings_(std::move(settings)), handler_(handler), metrics_(metrics),
          listener_(open_listener(settings_.listen_))
    {}

    ~impl()
    {
        stop();
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void start()
    {
        thread_ = std::thread(
            [this]
            {
                run();
            });
    }

    void stop()
    {
        post_item({}, true);
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    void post(std::function<void()> task)
    {
        post_item(std::move(task), false);
    }

    [[nodiscard]] const tree_member& self() const
    {
        return settings_.self_;
    }

    control_loop& loop()
    {
        return *loop_;
    }

private:
    void run()
    {
        auto io = kj::setupAsyncIo();
        io.waitScope.setBusyPollInterval(max_turns_without_poll);
        control_loop loop(settings_, handler_, metrics_, io, kj::mv(listener_));
        loop_ = &loop;
        while (run_posted(io.waitScope))
        {}
        loop_ = nullptr;
    }

    /// Waits for posted tasks and runs them; false once the loop is to stop.
    bool run_posted(kj::WaitScope& scope)
    {
        auto wake = kj::newPromiseAndCrossThreadFulfiller<void>();
        {
            const std::lock_guard lock(mutex_);
            waker_ = kj::mv(wake.fulfiller);
            if (stopping_ || !posted_.empty())
            {
                waker_->fulfill();
            }
        }
        wake.promise.wait(scope);
        std::vector<std::function<void()>> tasks;
        bool stopping = false;
        {
            const std::lock_guard lock(mutex_);
            waker_ = nullptr;
            tasks.swap(posted_);
            stopping = stopping_;
        }
        for (const auto& task : tasks)
        {
            run_task(task);
        }
        return !stopping;
    }

    static void run_task(const std::function<void()>& task)
    {
        try
        {
            task();
        }
        catch (const std::exception& failure)
        {
            log_event<log_event_id::control_task_failed>(
                log_fields::detail(failure.what()));
        }
    }

    void post_item(std::function<void()> task, bool stop)
    {
        const std::lock_guard lock(mutex_);
        stopping_ = stopping_ || stop;
        if (task)
        {
            posted_.push_back(std::move(task));
        }
        if (waker_.get() != nullptr)
        {
            waker_->fulfill();
        }
    }

    rpc_settings settings_;
    control_handler& handler_;
    metric_sink& metrics_;
    kj::AutoCloseFd listener_;
    control_loop* loop_ = nullptr;
    std::mutex mutex_;
    std::vector<std::function<void()>> posted_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> waker_;
    bool stopping_ = false;
    std::thread thread_;
};

control_network::control_network(
    rpc_settings settings, control_handler& handler, metric_sink& metrics)
    : impl_(std::make_unique<impl>(std::move(settings), handler, metrics))
{}

control_network::~control_network() = default;

void control_network::start()
{
    impl_->start();
}

void control_network::stop()
{
    impl_->stop();
}

void control_network::post(std::function<void()> task)
{
    impl_->post(std::move(task));
}

void control_network::after(
    std::chrono::milliseconds delay, std::function<void()> task)
{
    impl_->loop().after(delay, std::move(task));
}

void control_network::heartbeat(
    const peer_address& peer,
    const heartbeat_message& message,
    std::chrono::milliseconds deadline,
    callback<heartbeat_message> done)
{
    impl_->loop().call<heartbeat_message>(
        "heartbeat", peer, deadline,
        [&message](wire::Control::Client& client)
        {
            auto request = client.heartbeatRequest();
            write(request.initRequest(), message);
            return request.send();
        },
        [this](const auto& response, byte_meter& meter)
        {
            auto answer = read(response.getAnswer());
            // A first contact by address learns here where its peer is.
            meter.set_scope(scope_between(impl_->self(), answer.sender_));
            return answer;
        },
        std::move(done));
}

void control_network::push(
    const peer_address& peer,
    const push_message& message,
    std::chrono::milliseconds deadline,
    callback<revision> done)
{
    impl_->loop().call<revision>(
        "push", peer, deadline,
        [&message](wire::Control::Client& client)
        {
            auto request = client.pushRequest();
            write(request.initRequest(), message);
            return request.send();
        },
        [](const auto& response, byte_meter&)
        {
            return revision{response.getRevision()};
        },
        std::move(done));
}

void control_network::fetch_config(
    const peer_address& peer,
    const fetch_request& request,
    std::chrono::milliseconds deadline,
    callback<config_answer> done)
{
    impl_->loop().call<config_answer>(
        "fetch_config", peer, deadline,
        [&request](wire::Control::Client& client)
        {
            auto call = client.fetchConfigRequest();
            write(call.initSender(), request.sender_);
            call.setFromRevision(request.from_.value());
            call.setWhole(request.whole_);
            return call.send();
        },
        [](const auto& response, byte_meter&)
        {
            return read(response.getConfig());
        },
        std::move(done));
}

void control_network::member_digest(
    const peer_address& peer,
    const digest_request& request,
    std::chrono::milliseconds deadline,
    callback<digest_answer> done)
{
    impl_->loop().call<digest_answer>(
        "member_digest", peer, deadline,
        [&request](wire::Control::Client& client)
        {
            auto call = client.memberDigestRequest();
            write(call.initSender(), request.sender_);
            write(
                call.initBuckets(static_cast<unsigned>(request.digest_.size())),
                request.digest_);
            return call.send();
        },
        [](const auto& response, byte_meter&)
        {
            return digest_answer{
                response.getDiffering(), read(response.getRecords())};
        },
        std::move(done));
}

void control_network::probe(
    const peer_address& peer,
    const probe_request& request,
    std::chrono::milliseconds deadline,
    callback<bool> done)
{
    impl_->loop().call<bool>(
        "probe", peer, deadline,
        [&request](wire::Control::Client& client)
        {
            auto call = client.probeRequest();
            write(call.initSender(), request.sender_);
            call.setTarget(request.target_.value().c_str());
            return call.send();
        },
        [](const auto& response, byte_meter&)
        {
            return response.getReachable();
        },
        std::move(done));
}

void control_network::grant_tokens(
    const peer_address& peer,
    const grant_request& request,
    std::chrono::milliseconds deadline,
    callback<grant_answer> done)
{
    impl_->loop().call<grant_answer>(
        "grant_tokens", peer, deadline,
        [&request](wire::Control::Client& client)
        {
            auto call = client.grantTokensRequest();
            write(call.initSender(), request.sender_);
            write(
                call.initRequests(
                    static_cast<unsigned>(request.demands_.size())),
                request.demands_);
            return call.send();
        },
        [](const auto& response, byte_meter&)
        {
            return grant_answer{
                response.getIsGrantor(), read(response.getGrants())};
        },
        std::move(done));
}

void control_network::lend_share(
    const peer_address& peer,
    const message_sender& sender,
    std::chrono::milliseconds deadline,
    callback<bool> done)
{
    impl_->loop().call<bool>(
        "lend_share", peer, deadline,
        [&sender](wire::Control::Client& client)
        {
            auto call = client.lendShareRequest();
            write(call.initSender(), sender);
            return call.send();
        },
        [](const auto& response, byte_meter&)
        {
            return response.getLent();
        },
        std::move(done));
}

} // namespace hemlockshelf
