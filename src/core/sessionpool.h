#pragma once

#include "core/clock.h"
#include "core/errors.h"
#include "core/guardedsocket.h"
#include "core/responsehead.h"
#include "core/settings.h"
#include "core/tls.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Timespan.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// Base class that holds the limiter, so that it is constructed before the
/// socket and destroyed after it.
struct TransferLimiterBase
{
  explicit TransferLimiterBase(const Clock& aClock)
    : mLimiter(aClock)
  {
  }

  TransferLimiter mLimiter;
};

/// An HTTP connection that is opened explicitly, to distinguish a failure to
/// connect from a failure after bytes were sent. Requests are sent with
/// SendRequest and SendRaw only, as POCO writes any byte into a head. Responses
/// are read with ReceiveHead and a BodyReader only, as POCO's own parser takes
/// much for a response that is none.
class HttpSession final
  : private TransferLimiterBase
  , private Poco::Net::HTTPClientSession
{
public:
  using HTTPClientSession::connected;
  using HTTPClientSession::reset;
  using HTTPClientSession::socket;

  /// @param aTls context for TLS, null for plain HTTP
  HttpSession(const Endpoint& aEndpoint,
              const Clock& aClock,
              const TlsContext* aTls);

  /// Connects if the connection isn't open.
  /// @throw Poco::Exception when that fails
  void Open();

  /// @return the limits on this connection's transfers. They don't apply to a
  ///         TLS connection, which has the session's timeouts only.
  TransferLimiter& Guard() { return mLimiter; }

  /// @return whether the limiter applies to this connection and counts its sent
  ///         bytes, which it does only without TLS
  bool IsGuarded() const { return mIsGuarded; }

  /// Sets the timeout for connecting and for each read and write, and ends all
  /// limited transfers aTimeout from now.
  void SetTimeouts(Duration aTimeout);

  /// @return whether the connection is open and has neither unread bytes nor
  ///         been closed by the peer
  bool IsReusable();

  /// @return whether the receive buffer of the session holds unread bytes
  bool HasUnreadBytes() const { return buffered() > 0; }

  /// Sends a request with its body. Host is the address of the connection,
  /// unless it is one of the fields.
  /// @param aFields without those of the framing and the connection
  /// @return HeadInvalid if the head can't be written; nothing was sent then
  /// @throw Poco::Exception when the connection fails or a limit ends the
  ///        transfer
  Result<void> SendRequest(std::string_view aMethod,
                           std::string_view aPath,
                           std::span<const HttpField> aFields,
                           std::string_view aBody);

  /// Receives the head of the final response; interim ones are skipped.
  /// @param aIsBodyless whether responses to the request have no body (HEAD)
  /// @throw Poco::Net::MessageException when the peer sends no valid head
  /// @throw Poco::Exception when the connection ends or fails before the end of
  ///        the head, or a limit ends the transfer
  ResponseHead ReceiveHead(bool aIsBodyless = false);

  /// Sends bytes without framing until all are sent or the peer responds.
  /// @return whether all bytes were sent
  /// @throw Poco::Exception when the connection fails or a limit ends the
  ///        transfer
  bool SendRaw(std::string_view aBytes);

  /// Reads the bytes after the head of a response without decoding its framing.
  /// @return bytes read, 0 at the orderly end of the connection
  /// @throw Poco::Exception when the connection fails, which PeekRaw may have
  ///        seen before, or a limit ends the transfer
  size_t ReadRaw(std::span<char> aBuffer);

  /// Copies bytes that have arrived at the socket and were not read yet. They
  /// stay unread.
  /// @return the bytes, which are none at the orderly end of the connection;
  ///         nothing if none have arrived, the connection has failed or is a
  ///         TLS connection
  std::optional<std::string_view> PeekRaw(std::span<char> aBuffer);

  /// @return the head that ReceiveHead has read in part, or a new one
  const ResponseHeadParser& PartialHead() const { return mParser; }

  /// @return when the session object was created, which precedes its connecting
  TimePoint CreatedAt() const { return mCreatedAt; }

private:
  /// Receives the head of the next response, which may be an interim one.
  ResponseHead ReceiveAnyHead(bool aIsBodyless);

  /// @return the next byte, or nothing at the orderly end of the connection
  std::optional<char> ReadByte();

  const Clock& mClock;
  const bool mIsGuarded;
  const TimePoint mCreatedAt;
  ResponseHeadParser mParser;
};

/// Keeps idle connections for a short time for reuse. Thread-safe.
class SessionPool
{
public:
  using Session = std::unique_ptr<HttpSession>;

  /// @param aTls context for TLS, null for plain HTTP
  explicit SessionPool(const Clock& aClock,
                       std::shared_ptr<const TlsContext> aTls = nullptr);

  /// @return an idle connection that is still open and has no unread bytes, or
  ///         a new one that is not yet open
  Session Acquire(const Endpoint& aEndpoint);

  /// @return a new connection that is not yet open
  Session CreateSession(const Endpoint& aEndpoint) const;

  /// Returns a connection to the pool. Its last response must have been read to
  /// the end. It is closed if the pool is full.
  void Release(const Endpoint& aEndpoint, Session aSession);

  /// Closes the idle connections to aEndpoint that were created before aTime.
  void DiscardCreatedBefore(const Endpoint& aEndpoint, TimePoint aTime);

private:
  struct IdleSession
  {
    Session mSession;
    TimePoint mExpiresAt;
  };

  struct Shard
  {
    std::mutex mLock;
    std::map<Endpoint, std::vector<IdleSession>> mIdle;
  };

  static constexpr size_t kShardCount = 16;

  /// @return the connection that became idle last, or null
  Session TakeIdle(const Endpoint& aEndpoint);
  Shard& ShardFor(const Endpoint& aEndpoint);

  const Clock& mClock;
  const std::shared_ptr<const TlsContext> mTls;
  Shard mShards[kShardCount];
};

/// Sets the timeout of the session (see HttpSession::SetTimeouts) and connects
/// it.
/// @return ConnectFailed when it can't connect; nothing was sent then
Result<void>
Connect(HttpSession& aSession, const Endpoint& aEndpoint, Duration aTimeout);

/// @return the duration as POCO's type, at least one millisecond
Poco::Timespan
ToTimespan(Duration aDuration);

} // namespace hibiscushold
