#ifndef HEMLOCKSHELF_NODE_QUOTA_AGENT_HPP
#define HEMLOCKSHELF_NODE_QUOTA_AGENT_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "adapters/http/request_quota.hpp"
#include "hemlockshelf/quota/share_lender.hpp"
#include "hemlockshelf/quota/token_grantor.hpp"
#include "hemlockshelf/quota/token_holder.hpp"
#include "node/control_context.hpp"
#include "node/directory.hpp"

namespace hemlockshelf {

/// Keeps the quotas of client accounts over all nodes: one node of each failure
/// domain grants an equal part of every quota, the others request tokens from
/// it and, if it has none left, from those of the other failure domains. Since
/// nodes may differ on who grants, each lends its share of the part to one of
/// them at a time, and a grantor grants in proportion to what it is lent. The
/// members of `request_quota` may be called from any thread, the others on the
/// control loop only.
class quota_agent final : public request_quota
{
public:
    explicit quota_agent(control_context& context);

    std::optional<result<void>> try_admit(
        const client_account_id& account, const account_quota& quota) override;
    void admit_later(
        const client_account_id& account,
        const account_quota& quota,
        callback done) override;

    /// Follows changes of the members. Called often.
    void tick();

    grant_answer on_grant(const grant_request& request);

    /// Lends this node's share to a grantor of its failure domain. Returns
    /// whether it did.
    bool on_lend_share(const message_sender& sender);

    /// Records the nodes in the platform's directory. Those of which this node
    /// has no record may grant as well: it may have started while it is cut off
    /// from them.
    void set_directory(const std::vector<directory_row>& rows);

    /// Forgets the tokens to grant, after a pause in which another node may
    /// have taken over.
    void reset();

    /// Stops granting, so that the other nodes may lend their shares anew.
    void stop();

private:
    struct waiting_request
    {
        callback done_;
        boot_time expires_at_;
    };

    struct account_state
    {
        token_holder tokens_;
        quota_reserve reserve_;
        account_quota quota_;
        std::vector<waiting_request> waiting_;
    };

    using account_list = std::vector<client_account_id>;
    using decided_calls = std::vector<std::pair<callback, result<void>>>;

    struct known_domain
    {
        std::shared_ptr<const member_table::entry_pointers> members_;
        std::optional<vm_id> grantor_;
    };

    void schedule_rounds();
    /// Begins rounds for the accounts that need tokens.
    void begin_rounds();
    /// Asks the next grantor of each account.
    void continue_rounds(const account_list& accounts);
    void ask(std::size_t position, const account_list& accounts);
    void record_answers(
        const account_list& accounts,
        const result<grant_answer>& answer,
        boot_time asked_at);
    /// Gives tokens to waiting requests; refuses the rest if all grantors have
    /// been asked. Returns whether the account needs another grantor.
    bool advance(account_state& state, decided_calls& decided);
    [[nodiscard]] result<void> refuse(account_state& state);
    /// Ends the account's round and refuses the requests that still wait.
    void end_round(account_state& state, decided_calls& decided);
    /// Ends rounds whose answers were lost.
    void give_up_old_rounds();
    [[nodiscard]] token_grant grant(const token_demand& demand);
    void update_grantors();
    void update_own_part();
    /// Returns the nodes among which the failure domain's part is divided.
    [[nodiscard]] std::set<vm_id>
    sharing_nodes(const member_table::entry_pointers& members);
    /// Asks the nodes of the failure domain for their shares, if that is due.
    void borrow_shares();
    void borrow_from(const vm_id& vm);
    [[nodiscard]] bool has_limited_accounts() const;

    control_context& context_;
    const quota_settings& settings_;
    /// Guards `accounts_` and `scheduled_`.
    std::mutex mutex_;
    std::unordered_map<client_account_id, account_state> accounts_;
    bool scheduled_ = false;
    std::map<failure_domain_id, known_domain> domains_;
    /// Grantors of all failure domains; that of the own domain comes first.
    std::vector<vm_id> grantors_;
    /// Grantors that have not answered are not asked until then.
    std::unordered_map<vm_id, boot_time> silent_until_;
    /// Largest number of members known so far.
    std::size_t most_members_ = 1;
    /// If this node is the grantor of its failure domain.
    std::optional<token_grantor> own_part_;
    /// Members of the failure domain that `own_part_` is divided among.
    std::shared_ptr<const member_table::entry_pointers> sharing_members_;
    /// Nodes of the failure domain that are in the directory only.
    std::set<vm_id> listed_nodes_;
    share_lender own_share_;
    boot_time next_loans_{};
    bool is_stopped_ = false;
};

} // namespace hemlockshelf

#endif
