#include "serve/listen.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace hibiscushold {

namespace {

constexpr int kBacklog = 512;
constexpr int kTimeoutSeconds = 30;

} // namespace

Result<Poco::Net::ServerSocket>
ListenOn(const Endpoint& aAddress, std::shared_ptr<TlsContext> aTls)
{
  const bool reuseAddress = true;
  const bool reusePort = false;
  try {
    Poco::Net::ServerSocket socket;
    if (aTls != nullptr) {
      socket = TlsServerSocket(std::move(aTls));
    }
    socket.bind(Poco::Net::SocketAddress(aAddress.mHost, aAddress.mPort),
                reuseAddress,
                reusePort);
    socket.listen(kBacklog);
    return socket;
  } catch (const Poco::Exception& e) {
    return Failure{ Error::AddressInUse,
                    ToString(aAddress) + ": " + e.displayText(),
                    "choose another address in the settings" };
  }
}

Poco::Net::HTTPServerParams::Ptr
MakeServerParams(int aThreads)
{
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(aThreads);
  params->setMaxQueued(kBacklog);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(kTimeoutSeconds, 0));
  params->setTimeout(Poco::Timespan(kTimeoutSeconds, 0));
  return params;
}

int
PoolCapacity(int aThreads)
{
  return 2 * aThreads;
}

} // namespace hibiscushold
