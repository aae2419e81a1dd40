#ifndef HEMLOCKSHELF_TEST_EDITING_EDIT_SAMPLES_HPP
#define HEMLOCKSHELF_TEST_EDITING_EDIT_SAMPLES_HPP

#include <optional>
#include <string>

#include "hemlockshelf/editing/edit_request.hpp"
#include "hemlockshelf/editing/editing_settings.hpp"

namespace hemlockshelf {

row_edit pool_edit(const std::string& key, const std::string& service);
row_edit route_edit(const std::string& key, const std::string& pool);
row_edit deletion(table_id table, const std::string& key);

/// Returns the edit with an expected row version.
row_edit with_expected_version(row_edit edit, std::uint64_t version);

/// Returns an edit request of the account `regie`.
edit_request make_request(const std::string& id, std::vector<row_edit> edits);

/// Returns settings with quotas that are too high to be reached.
editing_settings unlimited_settings();

} // namespace hemlockshelf

#endif
