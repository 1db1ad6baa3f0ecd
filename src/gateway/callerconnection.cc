#include "gateway/callerconnection.h"

#include "core/sessionpool.h"
#include "core/textstream.h"
#include "gateway/callersession.h"
#include "observe/events.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServerConnection.h>

#include <memory>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPServerRequestImpl;
using Poco::Net::HTTPServerResponse;
using Poco::Net::HTTPServerResponseImpl;

/// Added to the limits of the configuration, as a caller measures from an
/// earlier moment and may know a newer version.
constexpr auto kLimitMargin = milliseconds(1000);

/// Increments a count for the lifetime of the object.
class CountedScope
{
public:
  explicit CountedScope(std::atomic<uint32_t>& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }

  ~CountedScope() { --mCount; }

  CountedScope(const CountedScope&) = delete;
  CountedScope& operator=(const CountedScope&) = delete;

private:
  std::atomic<uint32_t>& mCount;
};

/// How many of the connections that the server can serve are kept between
/// requests. The others are left for new callers, as a connection that waits
/// for a thread isn't read.
uint32_t
KeptConnections(uint32_t aMaxConnections)
{
  return aMaxConnections - aMaxConnections / 8;
}

class CallerConnection final : public Poco::Net::TCPServerConnection
{
public:
  CallerConnection(const Poco::Net::StreamSocket& aSocket,
                   const GatewayDependencies& aDependencies,
                   Poco::Net::HTTPServerParams::Ptr aParams,
                   GatewayHandlerFactory& aHandlers,
                   ConnectionCount& aConnections)
    : TCPServerConnection(aSocket)
    , mDependencies(aDependencies)
    , mHandlers(aHandlers)
    , mConnections(aConnections)
    , mOpen(aConnections.mOpen)
    , mParams(std::move(aParams))
    , mSession(aSocket, mParams)
  {
  }

  void run() override
  {
    try {
      while (WaitForRequest() && ServeRequest()) {
      }
    } catch (const Poco::Exception& e) {
      LogUnreadable(e.displayText());
    } catch (const std::exception& e) {
      LogUnreadable(e.what());
    }
  }

private:
  CallerLimits Limits() const
  {
    const FleetConfigPtr config = mDependencies.mWatcher.Config();
    return config == nullptr ? CallerLimits{} : config->mLimits;
  }

  /// Waits for the first byte of a request.
  /// @return false if none arrived within the idle limit, which may change
  ///         meanwhile
  bool WaitForRequest()
  {
    const TimePoint idleSince = mDependencies.mClock.Now();
    while (!mSession.HasUnreadBytes()) {
      const Duration left =
        TimeLeft(idleSince + Limits().mIdleTimeout + kLimitMargin,
                 mDependencies.mClock.Now());
      if (left == Duration::zero()) {
        return false;
      }
      if (socket().poll(ToTimespan(left), Poco::Net::Socket::SELECT_READ)) {
        return true;
      }
    }
    return true;
  }

  /// @return whether the connection can take another request
  bool ServeRequest()
  {
    // Counted before the check: a node that exits sets the flag first and then
    // waits for the requests it has counted.
    const CountedScope running(mDependencies.mRunning);
    if (mDependencies.mExiting) {
      return false;
    }
    socket().setReceiveTimeout(
      ToTimespan(Limits().mHeaderTimeout + kLimitMargin));
    HTTPServerResponseImpl response(mSession);
    std::unique_ptr<HTTPServerRequestImpl> request;
    try {
      request = std::make_unique<HTTPServerRequestImpl>(
        response, mSession, mParams.get());
    } catch (const Poco::Net::NoMessageException&) {
      return false; // the caller has closed the connection
    } catch (const Poco::Net::MessageException& e) {
      RefuseUnreadable(response, e.displayText());
      return false;
    }
    response.setDate(Poco::Timestamp());
    response.setVersion(request->getVersion());
    response.setKeepAlive(request->getKeepAlive() &&
                          mConnections.mOpen <= mConnections.mMaxKept);
    const std::unique_ptr<Poco::Net::HTTPRequestHandler> handler(
      mHandlers.createRequestHandler(*request));
    if (request->getExpectContinue()) {
      response.sendContinue();
    }
    handler->handleRequest(*request, response);
    return response.getKeepAlive();
  }

  /// Refuses a request whose head is malformed or ended too early.
  void RefuseUnreadable(HTTPServerResponse& aResponse,
                        const std::string& aReason)
  {
    LogUnreadable(aReason);
    if (mSession.networkException() != nullptr) {
      return;
    }
    aResponse.setStatusAndReason(HTTPServerResponse::HTTP_BAD_REQUEST);
    aResponse.setVersion(HTTPServerResponse::HTTP_1_1);
    aResponse.setKeepAlive(false);
    aResponse.setContentLength(0);
    TextStream text;
    aResponse.write(text);
    const std::string bytes = text.str();
    socket().sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    DiscardUntilClosed(socket(), mDependencies.mClock);
  }

  void LogUnreadable(const std::string& aReason) const
  {
    LogEvent(EventId::RequestUnreadable, { { "reason", aReason } });
  }

  const GatewayDependencies& mDependencies;
  GatewayHandlerFactory& mHandlers;
  ConnectionCount& mConnections;
  const CountedScope mOpen;
  Poco::Net::HTTPServerParams::Ptr mParams;
  CallerSession mSession;
};

} // namespace

CallerConnectionFactory::CallerConnectionFactory(
  const GatewayDependencies& aDependencies,
  uint32_t aMaxConnections)
  : mDependencies(aDependencies)
  , mConnections{ KeptConnections(aMaxConnections) }
  , mParams(new Poco::Net::HTTPServerParams)
  , mHandlers(aDependencies)
{
}

Poco::Net::TCPServerConnection*
CallerConnectionFactory::createConnection(
  const Poco::Net::StreamSocket& aSocket)
{
  return new CallerConnection(
    aSocket, mDependencies, mParams, mHandlers, mConnections);
}

} // namespace hibiscushold
