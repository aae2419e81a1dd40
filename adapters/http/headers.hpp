#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_HEADERS_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_HEADERS_HPP

namespace hemlockshelf::headers {

/// Client account of the caller.
inline constexpr auto account = "Hemlockshelf-Account";
/// Time that is left for the request, in milliseconds.
inline constexpr auto deadline_ms = "Hemlockshelf-Deadline-Ms";
inline constexpr auto request_id = "Hemlockshelf-Request-Id";
inline constexpr auto idempotency_key = "Idempotency-Key";
/// On a refusal that says that the request was not run, and nowhere else.
inline constexpr auto not_run = "Hemlockshelf-Not-Run";
/// Name of the error kind of a refusal.
inline constexpr auto error = "Hemlockshelf-Error";
inline constexpr auto pool = "Hemlockshelf-Pool";
/// Service of the pool; a gate refuses what is meant for another one.
inline constexpr auto service = "Hemlockshelf-Service";
inline constexpr auto traffic_class = "Hemlockshelf-Class";
inline constexpr auto entry_vm = "Hemlockshelf-Entry-Vm";
inline constexpr auto attempt = "Hemlockshelf-Attempt";
/// Rank of the route.
inline constexpr auto priority = "Hemlockshelf-Priority";
/// Target latency of the route, in milliseconds.
inline constexpr auto target_latency_ms = "Hemlockshelf-Target-Latency-Ms";
/// Time until an answer is late for the caller, in milliseconds; 0 if it is
/// late already.
inline constexpr auto objective_ms = "Hemlockshelf-Objective-Ms";
/// Longest time for which the entry lets a gate's queue hold the request, in
/// milliseconds; without it, the gate decides.
inline constexpr auto max_wait_ms = "Hemlockshelf-Max-Wait-Ms";
/// On a refusal for lack of room: time until there is room, in milliseconds.
inline constexpr auto room_in_ms = "Hemlockshelf-Room-In-Ms";
/// Length of a body that an entry sends in chunks because it holds it back.
inline constexpr auto body_length = "Hemlockshelf-Body-Length";
/// On a refusal by the upstream itself, which counts as an arrival there.
inline constexpr auto refused_by_upstream = "Hemlockshelf-Refused-By-Upstream";
inline constexpr auto free_slots = "Hemlockshelf-Free-Slots";

} // namespace hemlockshelf::headers

#endif
