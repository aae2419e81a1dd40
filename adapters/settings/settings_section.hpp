#ifndef HEMLOCKSHELF_ADAPTERS_SETTINGS_SETTINGS_SECTION_HPP
#define HEMLOCKSHELF_ADAPTERS_SETTINGS_SETTINGS_SECTION_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "adapters/http/endpoint.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Keeps the first error that is found while a settings file is read.
class settings_errors
{
public:
    explicit settings_errors(std::string file);

    /// Records an error at `mark`, unless one is recorded already.
    void report(const YAML::Mark& mark, const std::string& message);

    [[nodiscard]] const std::optional<error>& first() const noexcept
    {
        return first_;
    }

private:
    std::string file_;
    std::optional<error> first_;
};

/// One mapping of a settings file. Each accessor returns the value or, if the
/// value is missing or wrong, the fallback; errors go to `settings_errors`.
class settings_section
{
public:
    settings_section(
        const YAML::Node& node, std::string path, settings_errors& errors);

    /// Returns the mapping called `key`; an absent one is empty.
    settings_section section(const std::string& key);

    std::string required_text(const std::string& key);
    std::string text(const std::string& key, std::string fallback);
    endpoint required_endpoint(const std::string& key);
    endpoint optional_endpoint(const std::string& key, endpoint fallback);
    std::vector<endpoint> endpoints(const std::string& key);
    bool flag(const std::string& key, bool fallback);

    /// Whole number from `low` to `high`.
    std::uint64_t count(
        const std::string& key,
        std::uint64_t fallback,
        std::uint64_t low,
        std::uint64_t high);

    /// Number from `low` to `high`.
    double
    number(const std::string& key, double fallback, double low, double high);

    /// Duration of at least 1 us and at most 24 h.
    template <class Duration>
    Duration duration(const std::string& key, Duration fallback)
    {
        return std::chrono::duration_cast<Duration>(duration_value(
            key,
            std::chrono::duration_cast<std::chrono::microseconds>(fallback)));
    }

    byte_count size(const std::string& key, byte_count fallback);

    /// One of several words.
    std::string choice(
        const std::string& key,
        std::string fallback,
        const std::vector<std::string>& words);

    /// Entries of a mapping from text to text.
    std::vector<std::pair<std::string, std::string>>
    text_pairs(const std::string& key);

    /// Records an error about `key`.
    void report(const std::string& key, const std::string& message);

    /// Reports the first key that no accessor has asked for.
    void reject_unknown_keys();

private:
    YAML::Node take(const std::string& key);
    std::optional<std::string> scalar(const std::string& key);
    std::chrono::microseconds
    duration_value(const std::string& key, std::chrono::microseconds fallback);

    YAML::Node node_;
    std::string path_;
    settings_errors& errors_;
    std::set<std::string> known_;
};

} // namespace hemlockshelf

#endif
