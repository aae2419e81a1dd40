#ifndef HEMLOCKSHELF_EDITING_CHANGE_RECORD_HPP
#define HEMLOCKSHELF_EDITING_CHANGE_RECORD_HPP

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "hemlockshelf/config/config_delta.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Content of one row before and after a change; null for an absent row.
struct audited_row
{
    table_id table_ = table_id::routes;
    row_key key_;
    nlohmann::json before_;
    nlohmann::json after_;
};

/// Audit entry of a change: who changed which rows, when and on which node.
struct audit_entry
{
    std::string actor_;
    client_account_id account_;
    wall_time at_;
    vm_id vm_;
    std::vector<audited_row> rows_;
};

/// The row that each revision writes to the `changes` table.
struct change_record
{
    change_id id_;
    config_delta delta_;
    audit_entry audit_;
    /// Row version of the change row that the record was read from; 0 if it was
    /// not read from the platform.
    row_version version_{0};
};

nlohmann::json to_json(const audit_entry& entry);
nlohmann::json to_json(const change_record& record);

/// Parses the output of `to_json`. The error is `invalid_row` if the input is
/// malformed.
result<change_record> change_record_from_json(const nlohmann::json& json);

} // namespace hemlockshelf

#endif
