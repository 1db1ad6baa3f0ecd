#include "gateway/callerconnection.h"

#include "observe/events.h"
#include "serve/httpserver.h"

#include <Poco/Exception.h>
#include <Poco/Net/TCPServerConnection.h>

namespace hibiscushold {

namespace {

/// Added to the limits of the configuration, as a caller measures from an
/// earlier moment and may know a newer version.
constexpr auto kLimitMargin = milliseconds(1000);
/// Room for the fields that another node adds to a head that it passes on.
constexpr size_t kPeerFieldBytes = 2048;

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
                   ConnectionCount& aConnections)
    : TCPServerConnection(aSocket)
    , mDependencies(aDependencies)
    , mConnections(aConnections)
    , mOpen(aConnections.mOpen)
    , mSession(aSocket, aDependencies.mClock)
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
    const Clock& clock = mDependencies.mClock;
    const TimePoint idleSince = clock.Now();
    TimePoint until;
    do {
      until = idleSince + Limits().mIdleTimeout + kLimitMargin;
      if (mSession.WaitForBytes(until)) {
        return true;
      }
    } while (until < idleSince + Limits().mIdleTimeout + kLimitMargin);
    return false;
  }

  /// @return as ReceiveRequestHead
  ResultOrRefusal<std::optional<RequestHead>> ReceiveHead()
  {
    const CallerLimits limits = Limits();
    BOOST_OUTCOME_TRY(
      head,
      ReceiveRequestHead(mSession,
                         { limits.mMaxHeadBytes + kPeerFieldBytes,
                           limits.mHeaderTimeout + kLimitMargin,
                           limits.mIdleTimeout },
                         mDependencies.mClock));
    if (head && head->mBytes > limits.mMaxHeadBytes &&
        !HasField(*head, kPeerField)) {
      return Refusal{ RefusalKind::HeadTooLarge,
                      "head: the limit is " +
                        std::to_string(limits.mMaxHeadBytes) + " bytes" };
    }
    return std::move(head);
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
    ResultOrRefusal<std::optional<RequestHead>> head = ReceiveHead();
    if (!head) {
      mDependencies.mMetrics.CountRefusal(NameOf(head.error().mKind));
      RefuseHead(mSession, head.error(), mDependencies.mClock);
      return false;
    }
    if (!head.value()) {
      return false; // the caller has closed the connection
    }
    ServerRequest request(mSession, std::move(*head.value()));
    ResponseWriter writer(mSession, request.Head());
    writer.SetKeepsConnection(writer.KeepsConnection() &&
                              mConnections.mOpen <= mConnections.mMaxKept);
    if (request.Head().mExpectsContinue) {
      writer.SendContinue();
    }
    HandleCaller(mDependencies, request, writer);
    return writer.KeepsConnection();
  }

  void LogUnreadable(const std::string& aReason) const
  {
    LogEvent(EventId::RequestUnreadable, { { "reason", aReason } });
  }

  const GatewayDependencies& mDependencies;
  ConnectionCount& mConnections;
  const CountedScope mOpen;
  ServerSession mSession;
};

} // namespace

CallerConnectionFactory::CallerConnectionFactory(
  const GatewayDependencies& aDependencies,
  uint32_t aMaxConnections)
  : mDependencies(aDependencies)
  , mConnections{ KeptConnections(aMaxConnections) }
{
}

Poco::Net::TCPServerConnection*
CallerConnectionFactory::createConnection(
  const Poco::Net::StreamSocket& aSocket)
{
  return new CallerConnection(aSocket, mDependencies, mConnections);
}

} // namespace hibiscushold
