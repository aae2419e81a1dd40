#ifndef HEMLOCKSHELF_HISTORY_CHECKERS_HPP
#define HEMLOCKSHELF_HISTORY_CHECKERS_HPP

#include <string>
#include <vector>

#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// Violations of one rule, in words; empty if the history keeps it.
using violations = std::vector<std::string>;

/// Accepted edits are linearizable: each has exactly one change, at the
/// revision that the operator was told; refused edits have none; revisions are
/// unique and without gaps; an edit that was answered before another was
/// invoked has the lower revision.
violations check_edits(const run_history& history);

/// Committed edits with `expected_version` form a chain for each row: each
/// replaced the content that its operator had read at that version, no two
/// replaced the same version, and later revisions replaced later versions.
/// Versions are unique and rise; 0 stands for an absent row at any time.
violations check_expected_versions(const run_history& history);

/// No revision holds a route whose pool is absent.
violations check_references(const run_history& history);

/// The revision of a node's process never falls.
violations check_revisions_rise(const run_history& history);

/// Each non-idempotent request ran at most once, and nothing ran that no
/// caller sent.
violations check_at_most_once(const run_history& history);

/// No request ran whose caller was told that it was not run.
violations check_not_run(const run_history& history);

/// Each node's rows are those of its revision, and at the end of the run those
/// of the last revision.
violations check_in_force(const run_history& history);

/// Each answer belongs to its request and is whole.
violations check_answers(const run_history& history);

/// Runs every checker. Each violation starts with the name of its rule.
violations check_all(const run_history& history);

} // namespace hemlockshelf

#endif
