#ifndef HEMLOCKSHELF_EXPERIMENT_SETTINGS_FILES_HPP
#define HEMLOCKSHELF_EXPERIMENT_SETTINGS_FILES_HPP

#include <string>
#include <vector>

#include "experiment/cluster_options.hpp"
#include "experiment/node_place.hpp"

namespace hemlockshelf {

/// Failure domain of the platform in the settings of the links.
inline constexpr auto platform_domain = "platform";

/// Returns the settings of one node as YAML.
std::string node_settings_text(
    const cluster_options& options,
    const std::vector<node_place>& places,
    std::size_t index);

/// Returns the settings of the link stand-in as JSON.
std::string link_settings_text(
    const cluster_options& options,
    const std::vector<node_place>& places,
    const address_block& block);

/// Writes a file. Throws `std::runtime_error` if that fails.
void write_file(const std::string& path, const std::string& text);

/// Makes a new folder for the files of a run and returns its path. Throws
/// `std::runtime_error` if that fails.
std::string make_temporary_folder();

} // namespace hemlockshelf

#endif
