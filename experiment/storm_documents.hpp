#ifndef HEMLOCKSHELF_EXPERIMENT_STORM_DOCUMENTS_HPP
#define HEMLOCKSHELF_EXPERIMENT_STORM_DOCUMENTS_HPP

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// A configuration document that an operator publishes.
struct storm_document
{
    revision number_;
    std::string text_;
    bool readable_ = true;
};

/// Host of all routes of the documents.
inline constexpr const char* storm_host = "storm.example";

/// Returns a path that a route matches since the given version, and none
/// before.
std::string path_of_version(revision number);

/// Makes whole configurations with many routes, each of which differs from the
/// one before in a few of them. Their numbers have gaps.
class storm_documents
{
public:
    storm_documents(std::size_t routes, std::uint64_t seed);

    /// Returns the next configuration.
    storm_document next();

    /// Returns the next number with a text that nodes cannot read.
    storm_document next_broken();

private:
    struct stored_route
    {
        std::size_t number_ = 0;
        unsigned timeout_ms_ = 0;
    };

    std::uint64_t draw(std::uint64_t below);
    void advance();
    [[nodiscard]] std::string text() const;

    std::mt19937_64 random_;
    std::vector<stored_route> routes_;
    /// Readable versions, each of which adds a route for `path_of_version`.
    std::vector<revision> versions_;
    std::size_t next_route_;
    std::uint64_t number_ = 0;
};

} // namespace hemlockshelf

#endif
