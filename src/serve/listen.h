#pragma once

#include "core/errors.h"
#include "core/settings.h"
#include "core/tls.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>

#include <memory>

namespace hibiscushold {

/// Opens a listening socket.
/// @param aTls context for TLS, null for plain HTTP
/// @return the socket, or AddressInUse if it cannot listen on aAddress
Result<Poco::Net::ServerSocket>
ListenOn(const Endpoint& aAddress, std::shared_ptr<TlsContext> aTls);

/// @param aThreads maximum number of connections; each occupies a thread
/// @return parameters for one HTTP server
Poco::Net::HTTPServerParams::Ptr
MakeServerParams(int aThreads);

/// A thread whose connection has ended keeps its place in the pool for a
/// moment. A server that needs another thread then, and finds the pool full,
/// leaves the new connection waiting until the next one comes.
/// @param aThreads maximum number of connections, as for MakeServerParams
/// @return capacity of a server's pool of threads
int
PoolCapacity(int aThreads);

} // namespace hibiscushold
