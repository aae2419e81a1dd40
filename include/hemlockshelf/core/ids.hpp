#ifndef HEMLOCKSHELF_CORE_IDS_HPP
#define HEMLOCKSHELF_CORE_IDS_HPP

#include <cstdint>
#include <string>

#include "hemlockshelf/core/strong_type.hpp"

namespace hemlockshelf {

/// Identifies a VM and the node that runs on it.
using vm_id = strong_type<struct vm_id_tag, std::string>;
/// Identifies a zone whose VMs may fail together.
using failure_domain_id =
    strong_type<struct failure_domain_id_tag, std::string>;
/// Identifies a region, which is a group of failure domains.
using region_id = strong_type<struct region_id_tag, std::string>;
/// Identifies a customer of the mesh.
using client_account_id =
    strong_type<struct client_account_id_tag, std::string>;
/// Name of a service announced by upstreams.
using service_name = strong_type<struct service_name_tag, std::string>;
/// Key of a row, `<client_account>/<name>`.
using row_key = strong_type<struct row_key_tag, std::string>;
/// Identifies one edit across retries, for example after a lost answer.
using change_id = strong_type<struct change_id_tag, std::string>;
/// Identifies one request from a caller.
using request_id = strong_type<struct request_id_tag, std::string>;

/// Version number of the configuration. Increases monotonically.
using revision = strong_type<struct revision_tag, std::uint64_t>;
/// Start time of a node's process, in microseconds of wall-clock time.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;
/// Number of a member record within one incarnation.
using sequence = strong_type<struct sequence_tag, std::uint64_t>;
/// Version assigned to a row by the table service; 0 means absent.
using row_version = strong_type<struct row_version_tag, std::uint64_t>;
/// Identifies a continuous history of the platform's tables. The platform may
/// come back from an older copy, which lacks the latest changes; its era is
/// then one higher, and row versions are assigned again. 0 if it is not known.
using platform_era = strong_type<struct platform_era_tag, std::uint64_t>;

/// Number of requests that an upstream can process concurrently.
using slot_count = strong_type<struct slot_count_tag, std::uint32_t>;
/// Number of connections that an upstream accepts.
using connection_count =
    strong_type<struct connection_count_tag, std::uint32_t>;
/// Size of a body or a message in bytes.
using byte_count = strong_type<struct byte_count_tag, std::uint64_t>;
/// Capacity of a link in bits per second; 0 if unknown.
using bit_rate = strong_type<struct bit_rate_tag, std::uint64_t>;

} // namespace hemlockshelf

#endif
