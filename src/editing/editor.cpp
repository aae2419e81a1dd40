#include "hemlockshelf/editing/editor.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/config/row_codec.hpp"
#include "hemlockshelf/editing/platform_tables.hpp"

namespace hemlockshelf {

namespace {

// Racing editors each lose at most once per revision that another wins.
constexpr int max_commit_attempts = 32;
constexpr int max_read_back_attempts = 10;
constexpr std::chrono::milliseconds read_back_interval{200};

result<void> check_ownership(const edit_request& request)
{
    for (const auto& edit : request.edits_)
    {
        if (account_of(edit.change_.key_) != request.account_)
        {
            return make_error(
                error_kind::forbidden,
                fmt::format(
                    "row \"{}\": the account \"{}\" may only edit its own rows",
                    edit.change_.key_.value(), request.account_.value()));
        }
    }
    return {};
}

nlohmann::json row_json(const config_tables& tables, const row_change& change)
{
    if (change.table_ == table_id::routes)
    {
        const auto found = tables.routes_.find(change.key_);
        return found == tables.routes_.end() ? nlohmann::json{}
                                             : to_json(*found->second);
    }
    const auto found = tables.pools_.find(change.key_);
    return found == tables.pools_.end() ? nlohmann::json{}
                                        : to_json(*found->second);
}

std::string table_name(const row_change& change)
{
    return std::string(to_string(change.table_));
}

} // namespace

editor::editor(
    table_service& tables,
    const clock& time,
    vm_id vm,
    snapshot_source held,
    accepted_handler on_accepted)
    : tables_(tables), time_(time), vm_(std::move(vm)), held_(std::move(held)),
      on_accepted_(std::move(on_accepted))
{}

result<edit_outcome> editor::submit(const edit_request& request)
{
    const auto owned = check_ownership(request);
    if (!owned)
    {
        return tl::unexpected<error>(owned.error());
    }
    for (int attempt = 0; attempt < max_commit_attempts; ++attempt)
    {
        const auto head = read_head(tables_);
        if (!head)
        {
            return tl::unexpected<error>(head.error());
        }
        bool head_moved = false;
        auto outcome = try_commit(request, *head, head_moved);
        if (!head_moved)
        {
            return outcome;
        }
    }
    return make_error(
        error_kind::busy, fmt::format(
                              "edit \"{}\": other edits won {} times in a row",
                              request.id_.value(), max_commit_attempts));
}

result<edit_outcome> editor::find(const change_id& id)
{
    const auto row = tables_.read(platform_tables::change_ids, id.value());
    if (!row)
    {
        return tl::unexpected<error>(row.error());
    }
    if (!row->has_value())
    {
        return make_error(
            error_kind::not_found,
            fmt::format("change id \"{}\": not found", id.value()));
    }
    return edit_outcome{
        id, revision{(*row)->value_.value("revision", std::uint64_t{0})}};
}

result<edit_outcome> editor::try_commit(
    const edit_request& request, const config_head& head, bool& head_moved)
{
    const auto edit = prepare(request, head);
    if (!edit)
    {
        return tl::unexpected<error>(edit.error());
    }
    if (request.dry_run_)
    {
        return edit_outcome{request.id_, head.revision_};
    }
    const auto committed = tables_.commit(edit->writes_);
    if (committed)
    {
        on_accepted_(edit->record_);
        return edit_outcome{request.id_, edit->record_.delta_.to_};
    }
    const auto kind = committed.error().kind_;
    if (kind == error_kind::conflict || kind == error_kind::outcome_unknown)
    {
        return read_back(*edit, head, head_moved);
    }
    return tl::unexpected<error>(committed.error());
}

result<edit_outcome> editor::read_back(
    const prepared_edit& edit, const config_head& head, bool& head_moved)
{
    const auto& id = edit.record_.id_;
    for (int attempt = 0; attempt < max_read_back_attempts; ++attempt)
    {
        // The head is read first: if it has moved and the change id is absent
        // afterwards, the transaction can no longer commit.
        const auto now = read_head(tables_);
        auto found = now ? find(id) : result<edit_outcome>{};
        if (now && found)
        {
            if (found->revision_ == edit.record_.delta_.to_)
            {
                on_accepted_(edit.record_);
            }
            return found;
        }
        if (now && found.error().kind_ == error_kind::not_found &&
            now->version_ != head.version_)
        {
            head_moved = true;
            return edit_outcome{};
        }
        std::this_thread::sleep_for(read_back_interval);
    }
    return make_error(
        error_kind::outcome_unknown,
        fmt::format(
            "edit \"{}\": the platform's answer was lost; ask for the outcome "
            "by this change id",
            id.value()));
}

result<editor::prepared_edit>
editor::prepare(const edit_request& request, const config_head& head)
{
    auto base = held_();
    if (base->number() > head.revision_)
    {
        return make_error(
            error_kind::platform_unavailable,
            fmt::format(
                "head row: expected revision {} or later, read {}",
                base->number().value(), head.revision_.value()));
    }
    auto caught_up = catch_up(tables_, base, head.revision_);
    if (!caught_up)
    {
        return tl::unexpected<error>(caught_up.error());
    }
    base = std::move(*caught_up);

    prepared_edit edit;
    edit.record_.id_ = request.id_;
    edit.record_.audit_ = {
        request.actor_, request.account_, time_.wall_now(), vm_, {}};
    auto tables = base->tables();
    for (const auto& row : request.edits_)
    {
        auto before = row_json(tables, row.change_);
        apply_change(tables, row.change_);
        auto after = row_json(tables, row.change_);
        edit.writes_.writes_.push_back(
            {table_name(row.change_), row.change_.key_.value(), after});
        if (row.expected_version_)
        {
            edit.writes_.checks_.push_back(
                {table_name(row.change_), row.change_.key_.value(),
                 *row.expected_version_});
        }
        edit.record_.audit_.rows_.push_back(
            {row.change_.table_, row.change_.key_, std::move(before),
             std::move(after)});
        edit.record_.delta_.changes_.push_back(row.change_);
    }
    const auto checked = check_references(tables);
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    const revision next{head.revision_.value() + 1};
    edit.record_.delta_.to_ = next;
    edit.record_.delta_.result_hash_ = tables.hash_;
    auto& writes = edit.writes_;
    writes.checks_.push_back(
        {platform_tables::head, platform_tables::head_key, head.version_});
    writes.checks_.push_back(
        {platform_tables::change_ids, request.id_.value(), row_version{0}});
    writes.writes_.push_back(
        {platform_tables::head,
         platform_tables::head_key,
         {{"revision", next.value()}, {"hash", tables.hash_.to_string()}}});
    writes.writes_.push_back(
        {platform_tables::changes, platform_tables::change_key(next),
         to_json(edit.record_)});
    writes.writes_.push_back(
        {platform_tables::change_ids,
         request.id_.value(),
         {{"revision", next.value()}}});
    return edit;
}

} // namespace hemlockshelf
