#pragma once

#include "core/clock.h"
#include "core/errors.h"
#include "core/guardedsocket.h"
#include "core/settings.h"
#include "core/tls.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Timespan.h>

#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// Holds the guard, which must be made before the socket and outlive it.
struct GuardHolder
{
  explicit GuardHolder(const Clock& aClock)
    : mGuard(aClock)
  {
  }

  TransferGuard mGuard;
};

/// An HTTP connection that is opened in a step of its own, so that a failure
/// to connect is told apart from a failure after bytes were sent.
class HttpSession final
  : private GuardHolder
  , public Poco::Net::HTTPClientSession
{
public:
  /// @param aTls context for TLS, null for plain HTTP
  HttpSession(const Endpoint& aTo, const Clock& aClock, const TlsContext* aTls);

  /// Opens the connection if it is not open.
  void Open();

  /// @return the bounds on this connection's transfers; a TLS connection
  ///         keeps to the session's timeouts only
  TransferGuard& Guard() { return mGuard; }

  /// @return whether the guard counts the bytes of this connection
  bool IsGuarded() const { return mGuarded; }

  /// Bounds connecting and every transfer that follows.
  void Limit(Duration aLimit);

  /// @return whether the connection is open and nothing waits to be read
  bool IsIdle();

  /// @return whether bytes were received that nobody has read yet
  bool HasUnreadBytes() const { return buffered() > 0; }

  /// Sends bytes as they are, until all have gone or the peer answers.
  /// @return whether all have gone
  /// @throw Poco::Exception when the connection fails or a bound is passed
  bool SendRaw(std::string_view aBytes);

  /// Reads what follows the head of an answer, without regard to its framing.
  /// @return bytes read, 0 at the end of the connection
  /// @throw Poco::Exception when the connection fails or a bound is passed
  size_t ReadRaw(std::span<char> aInto);

  /// @return when the session was made
  TimePoint OpenedAt() const { return mOpenedAt; }

private:
  const Clock& mClock;
  const bool mGuarded;
  const TimePoint mOpenedAt;
};

/// Keeps idle connections for a short time. Safe for several threads.
class SessionPool
{
public:
  using Session = std::unique_ptr<HttpSession>;

  /// @param aTls context for TLS, null for plain HTTP
  explicit SessionPool(const Clock& aClock,
                       std::shared_ptr<const TlsContext> aTls = nullptr);

  /// @return an idle connection, or a new one that is not yet open
  Session Take(const Endpoint& aTo);

  /// @return a new connection that is not yet open
  Session Make(const Endpoint& aTo) const;

  /// Gives back a connection whose last answer was read whole.
  void Keep(const Endpoint& aTo, Session aSession);

  /// Closes the idle connections to aTo that were opened before aTime.
  void DiscardOpenedBefore(const Endpoint& aTo, TimePoint aTime);

private:
  struct Idle
  {
    Session mSession;
    TimePoint mExpires;
  };

  struct Shard
  {
    std::mutex mLock;
    std::map<Endpoint, std::vector<Idle>> mIdle;
  };

  static constexpr size_t kShards = 16;

  Shard& ShardOf(const Endpoint& aTo);

  const Clock& mClock;
  const std::shared_ptr<const TlsContext> mTls;
  Shard mShards[kShards];
};

/// Opens the session with aLimit for connecting and for each transfer.
/// @return ConnectFailed when it cannot be opened; then nothing was sent
Result<void>
Connect(HttpSession& aSession, const Endpoint& aTo, Duration aLimit);

/// @return the duration for POCO, at least one millisecond
Poco::Timespan
ToTimespan(Duration aDuration);

} // namespace hibiscushold
