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

} // namespace hibiscushold
