#ifndef HEMLOCKSHELF_TEST_NODE_SCRIPTED_PEER_HPP
#define HEMLOCKSHELF_TEST_NODE_SCRIPTED_PEER_HPP

#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "adapters/rpc/control_handler.hpp"
#include "adapters/rpc/control_network.hpp"
#include "test/node/control_node.hpp"

namespace hemlockshelf {

/// A peer with configurable answers that records the pushes and fetches that it
/// receives.
class scripted_peer final : public control_handler
{
public:
    explicit scripted_peer(const node_settings& settings)
        : network_(settings_of_peer(settings), *this, metrics_)
    {
        record_.vm_ = settings.vm_;
        record_.failure_domain_ = settings.failure_domain_;
        record_.region_ = settings.region_;
        record_.control_address_ = to_string(settings.advertised_control_);
        record_.incarnation_ = incarnation{1};
        record_.link_ = settings.link_;
        network_.start();
    }

    ~scripted_peer() override
    {
        network_.stop();
    }

    scripted_peer(const scripted_peer&) = delete;
    scripted_peer& operator=(const scripted_peer&) = delete;

    /// Answers no further messages.
    void stop()
    {
        network_.stop();
    }

    /// Sets the answer to later fetches.
    void set_fetch_answer(config_answer answer)
    {
        const std::lock_guard lock(mutex_);
        fetch_answer_ = std::move(answer);
    }

    /// Sets the revision that later answers to heartbeats report.
    void set_revision(revision number)
    {
        const std::lock_guard lock(mutex_);
        revision_ = number;
    }

    /// Sets the age of the confirmation that later answers to heartbeats
    /// report.
    void set_confirmation_age(std::chrono::milliseconds age)
    {
        const std::lock_guard lock(mutex_);
        confirmation_age_ = age;
    }

    std::vector<push_message> pushes()
    {
        const std::lock_guard lock(mutex_);
        return pushes_;
    }

    std::vector<fetch_request> fetches()
    {
        const std::lock_guard lock(mutex_);
        return fetches_;
    }

    [[nodiscard]] const member_record& record() const
    {
        return record_;
    }

    [[nodiscard]] message_sender sender() const
    {
        return {record_.vm_, record_.failure_domain_, record_.region_};
    }

    /// Returns the revisions in the answers to the pushes that were sent.
    std::vector<revision> answers()
    {
        const std::lock_guard lock(mutex_);
        return answers_;
    }

    /// Sends a push without waiting for its answer.
    void push(const endpoint& receiver, const push_message& message)
    {
        network_.post(
            [this, receiver, message]
            {
                network_.push(
                    {receiver, {}}, message, std::chrono::seconds{2},
                    [this](const result<revision>& answer)
                    {
                        const std::lock_guard lock(mutex_);
                        answers_.push_back(answer.value_or(revision{}));
                    });
            });
    }

private:
    static rpc_settings settings_of_peer(const node_settings& settings)
    {
        rpc_settings rpc;
        rpc.self_ = {settings.vm_, settings.failure_domain_, settings.region_};
        rpc.listen_ = settings.control_;
        rpc.source_address_ = settings.source_address_;
        return rpc;
    }

    heartbeat_message on_heartbeat(const heartbeat_message& request) override
    {
        auto answer = request;
        answer.sender_ = sender();
        answer.incarnation_ = record_.incarnation_;
        const std::lock_guard lock(mutex_);
        answer.revision_ = revision_;
        answer.confirmation_age_ = confirmation_age_;
        return answer;
    }

    revision on_push(push_message request) override
    {
        const std::lock_guard lock(mutex_);
        pushes_.push_back(std::move(request));
        return revision{0};
    }

    config_answer on_fetch(const fetch_request& request) override
    {
        const std::lock_guard lock(mutex_);
        fetches_.push_back(request);
        return fetch_answer_;
    }

    digest_answer on_digest(const digest_request&) override
    {
        return {};
    }

    void
    on_probe(const probe_request&, std::function<void(bool)> answer) override
    {
        answer(true);
    }

    std::mutex mutex_;
    config_answer fetch_answer_;
    revision revision_;
    std::optional<std::chrono::milliseconds> confirmation_age_;
    std::vector<push_message> pushes_;
    std::vector<fetch_request> fetches_;
    std::vector<revision> answers_;
    member_record record_;
    prometheus_metrics metrics_;
    control_network network_;
};

} // namespace hemlockshelf

#endif
