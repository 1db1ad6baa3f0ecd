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

/// How often a wait looks whether it should end early.
constexpr auto kSlice = milliseconds(30);
/// Sent bytes that are not acknowledged for so long break the connection.
constexpr int kUserTimeoutMillis = 3000;

milliseconds
SliceOf(Duration aLeft)
{
  const auto slice = std::min<Duration>(aLeft, kSlice);
  return std::max(std::chrono::duration_cast<milliseconds>(slice),
                  milliseconds(1));
}

class GuardedSocketImpl final : public Poco::Net::StreamSocketImpl
{
public:
  explicit GuardedSocketImpl(TransferGuard& aGuard)
    : mGuard(aGuard)
  {
  }

  void connect(const Poco::Net::SocketAddress& aAddress,
               const Poco::Timespan& aTimeout) override
  {
    StreamSocketImpl::connect(aAddress, aTimeout);
    setRawOption(IPPROTO_TCP,
                 TCP_USER_TIMEOUT,
                 &kUserTimeoutMillis,
                 sizeof(kUserTimeoutMillis));
  }

  int receiveBytes(void* aBuffer, int aLength, int aFlags) override
  {
    AwaitSocket(POLLIN);
    return SocketImpl::receiveBytes(aBuffer, aLength, aFlags);
  }

  int sendBytes(const void* aBuffer, int aLength, int aFlags) override
  {
    const char* bytes = static_cast<const char*>(aBuffer);
    int sent = 0;
    while (sent < aLength) {
      AwaitSocket(POLLOUT);
      // StreamSocketImpl would go on until all is sent, past every bound.
      // NOLINTNEXTLINE(bugprone-parent-virtual-call)
      const int n = SocketImpl::sendBytes(
        bytes + sent, aLength - sent, aFlags | MSG_DONTWAIT);
      if (n > 0) {
        mGuard.AddSent(static_cast<uint64_t>(n));
        sent += n;
      }
    }
    return sent;
  }

private:
  /// POCO's own poll makes an epoll set for each call.
  void AwaitSocket(short aEvents)
  {
    mGuard.Await([this, aEvents](milliseconds aWait) {
      pollfd entry{ sockfd(), aEvents, 0 };
      return ::poll(&entry, 1, static_cast<int>(aWait.count())) > 0;
    });
  }

  TransferGuard& mGuard;
};

} // namespace

TransferGuard::TransferGuard(const Clock& aClock)
  : mClock(aClock)
{
}

void
TransferGuard::SetCallerCheck(std::function<bool()> aIsGone)
{
  mIsGone = std::move(aIsGone);
}

void
TransferGuard::SetAbandonCheck(std::function<bool()> aIsGivenUp)
{
  mIsGivenUp = std::move(aIsGivenUp);
}

void
TransferGuard::Await(const std::function<bool(milliseconds)>& aIsReady)
{
  const TimePoint start = mClock.Now();
  const TimePoint gapEnd =
    mGap == Duration::zero() ? mDeadline : std::min(mDeadline, start + mGap);
  for (TimePoint now = start;; now = mClock.Now()) {
    if (now >= gapEnd) {
      mStop =
        gapEnd < mDeadline ? TransferStop::Silence : TransferStop::Deadline;
      throw Poco::TimeoutException("no byte in time");
    }
    if (aIsReady(SliceOf(gapEnd - now))) {
      return;
    }
    if (mIsGone && mIsGone()) {
      mStop = TransferStop::CallerGone;
      throw Poco::Net::ConnectionAbortedException("the caller is gone");
    }
    if (mIsGivenUp && mIsGivenUp()) {
      mStop = TransferStop::Abandoned;
      throw Poco::Net::ConnectionAbortedException("given up");
    }
  }
}

GuardedSocket::GuardedSocket(TransferGuard& aGuard)
  : StreamSocket(new GuardedSocketImpl(aGuard))
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
