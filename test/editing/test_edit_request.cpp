#include "hemlockshelf/editing/edit_request.hpp"

#include "hemlockshelf/editing/change_record.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

nlohmann::json good_request()
{
    return nlohmann::json::parse(R"({
        "change_id": "c1", "actor": "operator", "edits": [
            {"table": "pools", "key": "regie/a",
             "row": {"service": "catalogue"}, "expected_version": 3}]})");
}

result<edit_request> parse(const nlohmann::json& json)
{
    return edit_request_from_json(json, client_account_id{"regie"});
}

} // namespace

// Guards against an expected version or a deletion that is parsed incorrectly.
Test(edit_request, a_request_is_read_as_given)
{
    auto json = good_request();
    const auto request = parse(json);
    cr_assert(request.has_value());
    cr_assert(!request->dry_run_);
    cr_assert(request->edits_[0].expected_version_ == row_version{3});
    json["edits"][0]["row"] = nullptr;
    cr_assert(std::holds_alternative<row_deletion>(
        parse(json)->edits_[0].change_.row_));
}

// Guards against a misspelled or mistyped field, for example `dry_run`, that is
// ignored, so that the edit is committed without the intended protection.
Test(edit_request, unknown_and_mistyped_fields_are_refused)
{
    const char* pointers[] = {"/dryrun",           "/dry_run",
                              "/edits/0/expected", "/edits/0/expected_version",
                              "/edits/0/row/host", "/change_id",
                              "/edits/0/key",      "/edits/0/table"};
    for (const auto* pointer : pointers)
    {
        auto json = good_request();
        json[nlohmann::json::json_pointer(pointer)] = -1;
        cr_assert(!parse(json).has_value(), "%s", pointer);
    }
}

// Guards against an edit that deletes a row because its `row` field is missing.
Test(edit_request, a_missing_row_is_no_deletion)
{
    auto json = good_request();
    json["edits"][0].erase("row");
    cr_assert(parse(json).error().kind_ == error_kind::bad_request);
    cr_assert(!parse(nlohmann::json::array()).has_value());
    json["edits"] = nlohmann::json::array();
    cr_assert(!parse(json).has_value());
}

// Guards against a malformed change row that is accepted, and against fields
// that are lost in serialization.
Test(edit_request, a_malformed_change_row_is_refused)
{
    const auto request = parse(good_request());
    change_record record;
    record.id_ = request->id_;
    record.delta_.changes_ = {request->edits_[0].change_};
    record.audit_.rows_ = {{table_id::pools, row_key{"regie/a"}, {}, {}}};
    const auto json = to_json(record);
    cr_assert(to_json(*change_record_from_json(json)) == json);
    for (const auto* pointer :
         {"/audit/edits/0/table", "/audit/at_ms", "/hash", "/delta/upserts",
          "/revision"})
    {
        auto damaged = json;
        damaged[nlohmann::json::json_pointer(pointer)] = "other";
        cr_assert(!change_record_from_json(damaged).has_value(), "%s", pointer);
    }
}
