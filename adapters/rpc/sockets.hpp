#ifndef HEMLOCKSHELF_ADAPTERS_RPC_SOCKETS_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_SOCKETS_HPP

#include <string>

#include <kj/async-io.h>
#include <kj/io.h>

#include "adapters/http/endpoint.hpp"

namespace hemlockshelf {

/// Returns a listening TCP socket. Throws `std::system_error`.
kj::AutoCloseFd open_listener(const endpoint& address);

/// Connects from a source address, which may be empty.
kj::Promise<kj::Own<kj::AsyncIoStream>> connect_socket(
    kj::LowLevelAsyncIoProvider& provider,
    const endpoint& target,
    const std::string& source_address);

} // namespace hemlockshelf

#endif
