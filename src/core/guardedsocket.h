#pragma once

#include "core/clock.h"

#include <Poco/Net/StreamSocket.h>

#include <functional>

namespace hibiscushold {

/// Which limit of a TransferLimiter ended a transfer.
enum class TransferStop
{
  None,
  Deadline,
  IdleTimeout,        ///< the silence check returned true
  CallerDisconnected, ///< the caller closed its own connection
  Abandoned,          ///< the abandon check returned true
};

/// Limits on the transfers of one connection. A socket's own timeouts restart
/// with each read, so a peer that sends single bytes at intervals could keep a
/// request open past its deadline. The deadline of this class doesn't restart.
class TransferLimiter
{
public:
  explicit TransferLimiter(const Clock& aClock);

  /// Ends every transfer at aDeadline.
  void SetDeadline(TimePoint aDeadline) { mDeadline = aDeadline; }

  /// Silence by itself doesn't end a transfer; the check decides.
  /// @param aAfter how long no byte must move before the check is called; zero
  ///        removes the check
  /// @param aMayEnd called at intervals from then on; returns whether the
  ///        transfer is to end
  void SetSilenceCheck(Duration aAfter, std::function<bool()> aMayEnd);

  /// @param aIsDisconnected called at intervals during a wait; returns whether
  ///        the caller has disconnected, which ends the transfer
  void SetCallerCheck(std::function<bool()> aIsDisconnected);

  /// @param aIsAbandoned called at intervals during a wait; returns whether the
  ///        transfer is to end early
  void SetAbandonCheck(std::function<bool()> aIsAbandoned);

  /// Resets the count of sent bytes to zero.
  void ResetSent() { mSent = 0; }

  /// @return bytes passed to the operating system since ResetSent
  uint64_t SentBytes() const { return mSent; }

  /// @return the limit that ended a transfer, or None
  TransferStop StopReason() const { return mStop; }

  /// Calls aPoll until it returns true or a limit ends the transfer.
  /// @param aPoll waits for the socket for at most the given time and returns
  ///        whether the socket is ready
  /// @throw Poco::TimeoutException at the deadline
  /// @throw Poco::Net::ConnectionAbortedException when one of the checks ends
  ///        the transfer
  void WaitUntilReady(const std::function<bool(milliseconds)>& aPoll);

  void AddSent(uint64_t aBytes) { mSent += aBytes; }

  /// Keeps an error that was taken from the socket without a read. The socket
  /// doesn't report it again, but the end of the connection instead.
  void SetSocketError(int aError) { mSocketError = aError; }

  /// @return the error that the next read must report, or 0
  int SocketError() const { return mSocketError; }

private:
  const Clock& mClock;
  TimePoint mDeadline = TimePoint::max();
  Duration mSilenceLimit{ 0 };
  std::function<bool()> mMayEndSilence;
  std::function<bool()> mIsCallerDisconnected;
  std::function<bool()> mIsAbandoned;
  uint64_t mSent = 0;
  TransferStop mStop = TransferStop::None;
  int mSocketError = 0;
};

/// A TCP socket whose transfers are limited by a TransferLimiter.
class GuardedSocket final : public Poco::Net::StreamSocket
{
public:
  /// @param aLimiter must outlive the socket
  explicit GuardedSocket(TransferLimiter& aLimiter);
};

/// Doesn't consume bytes that are waiting to be read.
/// @return whether the peer has closed or reset the connection
bool
IsPeerGone(const Poco::Net::StreamSocket& aSocket);

} // namespace hibiscushold
