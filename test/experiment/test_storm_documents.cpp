#include "experiment/storm_documents.hpp"

#include <nlohmann/json.hpp>

#include "hemlockshelf/config/config_snapshot.hpp"
#include "platform/configuration_document.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

bool is_readable(const storm_document& document)
{
    const auto held = *config_snapshot::build(revision{}, {});
    const auto json = nlohmann::json::parse(document.text_, nullptr, false);
    const auto read = read_configuration(json, *held);
    return read && (*read)->number() == document.number_;
}

} // namespace

// Guards against generated versions that nodes reject, broken versions that
// they accept, and version numbers without gaps.
Test(storm_documents, versions_are_readable_unless_broken)
{
    constexpr int versions = 12;
    storm_documents documents(50, 1);
    revision last = documents.next().number_;
    bool has_gap = false;
    for (int made = 0; made < versions; ++made)
    {
        const bool broken = made % 2 == 1;
        const auto document =
            broken ? documents.next_broken() : documents.next();
        cr_assert(document.readable_ != broken);
        cr_assert(is_readable(document) == document.readable_);
        cr_assert(document.number_ > last);
        has_gap = has_gap || document.number_.value() > last.value() + 1;
        last = document.number_;
    }
    cr_assert(has_gap);
}
