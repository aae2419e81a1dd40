#ifndef HEMLOCKSHELF_HISTORY_CHECKERS_HPP
#define HEMLOCKSHELF_HISTORY_CHECKERS_HPP

#include <string>
#include <vector>

#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// Descriptions of the violations of an invariant; empty if it holds.
using violations = std::vector<std::string>;

/// Checks that accepted edits are linearizable: each has exactly one change, at
/// the revision returned to the operator; refused edits have none; revisions
/// are unique and without gaps; an edit that was answered before another was
/// invoked has the lower revision.
violations check_edits(const run_history& history);

/// Checks that committed edits with `expected_version` form a chain for each
/// row: each replaced the content that its operator had read at that version,
/// no two replaced the same version, and later revisions replaced later
/// versions. Versions are unique and increase; 0 means an absent row.
violations check_expected_versions(const run_history& history);

/// Checks that no revision contains a route whose pool is absent.
violations check_references(const run_history& history);

/// Checks that the revision of a node's process never decreases.
violations check_revisions_rise(const run_history& history);

/// Checks that each non-idempotent request was executed at most once, and that
/// every executed request was sent by a caller.
violations check_at_most_once(const run_history& history);

/// Checks that no request was executed whose caller got an error that excludes
/// execution.
violations check_not_run(const run_history& history);

/// Checks that each node's rows match its revision, and at the end of the run
/// the last revision.
violations check_in_force(const run_history& history);

/// Checks that each answer belongs to its request and is complete.
violations check_answers(const run_history& history);

/// Runs all checkers. Each violation is prefixed with the name of its checker.
violations check_all(const run_history& history);

} // namespace hemlockshelf

#endif
