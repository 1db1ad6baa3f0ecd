#pragma once

#include "core/clock.h"

#include <Poco/Net/StreamSocket.h>

#include <functional>

namespace hibiscushold {

/// What ended a transfer.
enum class TransferStop
{
  None,
  Deadline,
  Silence,
  CallerGone,
  Abandoned, ///< the user of the connection gave it up
};

/// Bounds on the transfers of one connection. A socket's own timeouts start
/// anew with each read, so a peer that sends a byte now and then could hold a
/// request past its deadline; these bounds do not.
class TransferGuard
{
public:
  explicit TransferGuard(const Clock& aClock);

  /// No transfer goes on after aDeadline.
  void SetDeadline(TimePoint aDeadline) { mDeadline = aDeadline; }

  /// No wait for the next byte is longer than aGap; zero lifts the bound.
  void SetGap(Duration aGap) { mGap = aGap; }

  /// @param aIsGone asked while waiting; true ends the transfer
  void SetCallerCheck(std::function<bool()> aIsGone);

  /// @param aIsGivenUp asked while waiting; true ends the transfer
  void SetAbandonCheck(std::function<bool()> aIsGivenUp);

  /// Starts to count sent bytes anew.
  void ResetSent() { mSent = 0; }

  /// @return bytes given to the operating system since ResetSent
  uint64_t Sent() const { return mSent; }

  /// @return which bound ended a transfer, if one did
  TransferStop Stop() const { return mStop; }

  /// Waits until aIsReady.
  /// @param aIsReady waits for the socket for at most the given time
  /// @throw Poco::TimeoutException when a bound is passed, or
  ///        Poco::Net::ConnectionAbortedException when the caller is gone
  void Await(const std::function<bool(milliseconds)>& aIsReady);

  void AddSent(uint64_t aBytes) { mSent += aBytes; }

private:
  const Clock& mClock;
  TimePoint mDeadline = TimePoint::max();
  Duration mGap{ 0 };
  std::function<bool()> mIsGone;
  std::function<bool()> mIsGivenUp;
  uint64_t mSent = 0;
  TransferStop mStop = TransferStop::None;
};

/// A TCP socket whose transfers keep to aGuard, which must outlive it.
class GuardedSocket final : public Poco::Net::StreamSocket
{
public:
  explicit GuardedSocket(TransferGuard& aGuard);
};

/// @return whether the peer has closed or reset the connection; bytes that
///         wait to be read are left there
bool
IsPeerGone(const Poco::Net::StreamSocket& aSocket);

} // namespace hibiscushold
