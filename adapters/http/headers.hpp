#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_HEADERS_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_HEADERS_HPP

namespace hemlockshelf::headers {

/// Client account of the caller.
inline constexpr auto account = "Hemlockshelf-Account";
/// Time that is left for the request, in milliseconds.
inline constexpr auto deadline_ms = "Hemlockshelf-Deadline-Ms";
inline constexpr auto request_id = "Hemlockshelf-Request-Id";
inline constexpr auto idempotency_key = "Idempotency-Key";
/// Set only on a refusal that guarantees that the request was not run.
inline constexpr auto not_run = "Hemlockshelf-Not-Run";
/// Name of the error kind of a refusal.
inline constexpr auto error = "Hemlockshelf-Error";
/// Client account of the caller's API key, if it has one.
inline constexpr auto client_account = "Hemlockshelf-Client-Account";
inline constexpr auto pool = "Hemlockshelf-Pool";
/// Service of the pool; a gate refuses requests for another service.
inline constexpr auto service = "Hemlockshelf-Service";
inline constexpr auto traffic_class = "Hemlockshelf-Class";
inline constexpr auto entry_vm = "Hemlockshelf-Entry-Vm";
inline constexpr auto attempt = "Hemlockshelf-Attempt";
/// Priority of the route.
inline constexpr auto priority = "Hemlockshelf-Priority";
/// Target latency of the route, in milliseconds.
inline constexpr auto target_latency_ms = "Hemlockshelf-Target-Latency-Ms";
/// Time until the target latency is exceeded, in milliseconds; 0 if it is
/// already exceeded.
inline constexpr auto objective_ms = "Hemlockshelf-Objective-Ms";
/// Longest time for which the gate may queue the request, in milliseconds;
/// without it, the gate decides.
inline constexpr auto max_wait_ms = "Hemlockshelf-Max-Wait-Ms";
/// Set on a refusal for lack of capacity: time until a slot is free, in
/// milliseconds.
inline constexpr auto room_in_ms = "Hemlockshelf-Room-In-Ms";
/// Length of a body that an entry sends chunked after the gate's 100.
inline constexpr auto body_length = "Hemlockshelf-Body-Length";
/// Set on a refusal by the upstream itself; the request counts as one that has
/// arrived there.
inline constexpr auto refused_by_upstream = "Hemlockshelf-Refused-By-Upstream";
inline constexpr auto free_slots = "Hemlockshelf-Free-Slots";

} // namespace hemlockshelf::headers

#endif
