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

/// Returns the edit with an expected version.
row_edit expecting(row_edit edit, std::uint64_t version);

/// Makes an edit of the account `regie`.
edit_request request_of(const std::string& id, std::vector<row_edit> edits);

/// Returns settings whose quotas never bind.
editing_settings unlimited();

} // namespace hemlockshelf

#endif
