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

/// Describes one setting for the reference pages.
struct setting_info
{
    /// Keys from the root of the file, separated by dots.
    std::string path_;
    /// Type, unit and range in words.
    std::string type_;
    /// Default in words; empty if the setting is required.
    std::string fallback_;
    std::string help_;
};

/// Keeps the first error that is found while a settings file is read, and a
/// description of every setting that was asked for.
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

    /// Adds a description.
    void describe(setting_info info);

    [[nodiscard]] const std::vector<setting_info>& described() const noexcept
    {
        return described_;
    }

private:
    std::string file_;
    std::optional<error> first_;
    std::vector<setting_info> described_;
};

/// Key of a setting and what it means.
struct setting_key
{
    const char* name_;
    const char* help_;
};

/// One mapping of a settings file. Each accessor returns the value or, if the
/// value is missing or wrong, the fallback; errors go to `settings_errors`.
class settings_section
{
public:
    settings_section(
        const YAML::Node& node, std::string path, settings_errors& errors);

    /// Returns the mapping called `name`; an absent one is empty.
    settings_section section(const std::string& name);

    std::string required_text(const setting_key& key);
    std::string text(const setting_key& key, std::string fallback);
    endpoint required_endpoint(const setting_key& key);
    endpoint optional_endpoint(const setting_key& key, endpoint fallback);
    std::optional<endpoint> optional_endpoint(const setting_key& key);
    std::vector<endpoint> endpoints(const setting_key& key);
    bool flag(const setting_key& key, bool fallback);

    /// Whole number from `low` to `high`.
    std::uint64_t count(
        const setting_key& key,
        std::uint64_t fallback,
        std::uint64_t low,
        std::uint64_t high);

    /// Number from `low` to `high`.
    double
    number(const setting_key& key, double fallback, double low, double high);

    /// Duration of at least 1 us and at most 24 h.
    template <class Duration>
    Duration duration(const setting_key& key, Duration fallback)
    {
        return std::chrono::duration_cast<Duration>(duration_value(
            key,
            std::chrono::duration_cast<std::chrono::microseconds>(fallback)));
    }

    byte_count size(const setting_key& key, byte_count fallback);

    /// One of several words.
    std::string choice(
        const setting_key& key,
        std::string fallback,
        const std::vector<std::string>& words);

    /// Entries of a mapping from text to text.
    std::vector<std::pair<std::string, std::string>>
    text_pairs(const setting_key& key);

    /// Records an error about `key`.
    void report(const setting_key& key, const std::string& message);

    /// Reports the first key that no accessor has asked for.
    void reject_unknown_keys();

private:
    YAML::Node take(const std::string& name);
    std::optional<std::string> scalar(const setting_key& key);
    void
    describe(const setting_key& key, std::string type, std::string fallback);
    std::chrono::microseconds
    duration_value(const setting_key& key, std::chrono::microseconds fallback);

    YAML::Node node_;
    std::string path_;
    settings_errors& errors_;
    std::set<std::string> known_;
};

} // namespace hemlockshelf

#endif
