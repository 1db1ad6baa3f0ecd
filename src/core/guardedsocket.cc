#include "core/guardedsocket.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace hibiscushold {

namespace {

/// How often a wait checks for a disconnected caller or an abandoned transfer.
constexpr auto kPollInterval = milliseconds(30);
/// The kernel closes a connection whose sent bytes stay unacknowledged for this
/// long.
constexpr int kTcpUserTimeoutMillis = 3000;

milliseconds
PollTimeout(Duration aTimeLeft)
{
  const auto timeout = std::min<Duration>(aTimeLeft, kPollInterval);
  return std::max(std::chrono::duration_cast<milliseconds>(timeout),
                  milliseconds(1));
}

class GuardedSocketImpl final : public Poco::Net::StreamSocketImpl
{
public:
  explicit GuardedSocketImpl(TransferLimiter& aLimiter)
    : mLimiter(aLimiter)
  {
  }

  void connect(const Poco::Net::SocketAddress& aAddress,
               const Poco::Timespan& aTimeout) override
  {
    mLimiter.SetSocketError(0);
    StreamSocketImpl::connect(aAddress, aTimeout);
    setRawOption(IPPROTO_TCP,
                 TCP_USER_TIMEOUT,
                 &kTcpUserTimeoutMillis,
                 sizeof(kTcpUserTimeoutMillis));
  }

  int receiveBytes(void* aBuffer, int aLength, int aFlags) override
  {
    WaitForSocket(POLLIN);
    // It may have been set during the wait.
    if (mLimiter.SocketError() != 0) {
      error(mLimiter.SocketError());
    }
    return SocketImpl::receiveBytes(aBuffer, aLength, aFlags);
  }

  int sendBytes(const void* aBuffer, int aLength, int aFlags) override
  {
    const char* bytes = static_cast<const char*>(aBuffer);
    int sent = 0;
    while (sent < aLength) {
      WaitForSocket(POLLOUT);
      // StreamSocketImpl::sendBytes loops until all bytes are sent and so would
      // ignore the limits that mLimiter sets.
      // NOLINTNEXTLINE(bugprone-parent-virtual-call)
      const int n = SocketImpl::sendBytes(
        bytes + sent, aLength - sent, aFlags | MSG_DONTWAIT);
      if (n > 0) {
        mLimiter.AddSent(static_cast<uint64_t>(n));
        sent += n;
      }
    }
    return sent;
  }

private:
  /// Uses poll() directly, as POCO's poll creates an epoll set for each call.
  void WaitForSocket(short aEvents)
  {
    mLimiter.WaitUntilReady([this, aEvents](milliseconds aTimeout) {
      pollfd entry{ sockfd(), aEvents, 0 };
      return ::poll(&entry, 1, static_cast<int>(aTimeout.count())) > 0;
    });
  }

  TransferLimiter& mLimiter;
};

} // namespace

TransferLimiter::TransferLimiter(const Clock& aClock)
  : mClock(aClock)
{
}

void
TransferLimiter::SetSilenceCheck(Duration aAfter, std::function<bool()> aMayEnd)
{
  mSilenceLimit = aAfter;
  mMayEndSilence = std::move(aMayEnd);
}

void
TransferLimiter::SetCallerCheck(std::function<bool()> aIsDisconnected)
{
  mIsCallerDisconnected = std::move(aIsDisconnected);
}

void
TransferLimiter::SetAbandonCheck(std::function<bool()> aIsAbandoned)
{
  mIsAbandoned = std::move(aIsAbandoned);
}

void
TransferLimiter::WaitUntilReady(const std::function<bool(milliseconds)>& aPoll)
{
  const TimePoint start = mClock.Now();
  for (TimePoint now = start;; now = mClock.Now()) {
    if (now >= mDeadline) {
      mStop = TransferStop::Deadline;
      throw Poco::TimeoutException("no byte in time");
    }
    if (aPoll(PollTimeout(mDeadline - now))) {
      return;
    }
    if (mIsCallerDisconnected && mIsCallerDisconnected()) {
      mStop = TransferStop::CallerDisconnected;
      throw Poco::Net::ConnectionAbortedException("the caller is gone");
    }
    if (mIsAbandoned && mIsAbandoned()) {
      mStop = TransferStop::Abandoned;
      throw Poco::Net::ConnectionAbortedException("given up");
    }
    if (mSilenceLimit > Duration::zero() &&
        mClock.Now() >= start + mSilenceLimit && mMayEndSilence()) {
      mStop = TransferStop::IdleTimeout;
      throw Poco::Net::ConnectionAbortedException("silent, and replaced");
    }
  }
}

GuardedSocket::GuardedSocket(TransferLimiter& aLimiter)
  : StreamSocket(new GuardedSocketImpl(aLimiter))
{
}

bool
IsPeerGone(const Poco::Net::StreamSocket& aSocket)
{
  char byte = 0;
  const ssize_t n =
    ::recv(aSocket.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

} // namespace hibiscushold
