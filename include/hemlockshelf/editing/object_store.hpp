#ifndef HEMLOCKSHELF_EDITING_OBJECT_STORE_HPP
#define HEMLOCKSHELF_EDITING_OBJECT_STORE_HPP

#include <optional>
#include <string>

#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Port to the platform's store of immutable blobs. Calls block for at most the
/// adapter's timeout. Implementations must be thread-safe.
class object_store
{
public:
    virtual ~object_store() = default;

    /// Stores a blob under a name that has not been used before. The error is
    /// `platform_unavailable`.
    virtual result<void>
    put(const std::string& name, const std::string& content) = 0;

    /// Returns a blob, or nothing if there is none. The error is
    /// `platform_unavailable`.
    virtual result<std::optional<std::string>> get(const std::string& name) = 0;

    /// Removes a blob; a missing blob is not an error. The error is
    /// `platform_unavailable`.
    virtual result<void> remove(const std::string& name) = 0;

protected:
    object_store() = default;
    object_store(const object_store&) = default;
    object_store& operator=(const object_store&) = default;
};

} // namespace hemlockshelf

#endif
