#include "core/sessionpool.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SecureStreamSocket.h>
#include <Poco/Net/SocketImpl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace hibiscushold {

namespace {

constexpr auto kIdleLife = seconds(4);
constexpr size_t kMaxIdlePerEndpoint = 32;

Poco::Net::StreamSocket
SocketFor(const TlsContext* aTls, TransferGuard& aGuard)
{
  if (aTls == nullptr) {
    return GuardedSocket(aGuard);
  }
  return Poco::Net::SecureStreamSocket(aTls->Current());
}

} // namespace

HttpSession::HttpSession(const Endpoint& aTo,
                         const Clock& aClock,
                         const TlsContext* aTls)
  : GuardHolder(aClock)
  , HTTPClientSession(SocketFor(aTls, mGuard))
  , mClock(aClock)
  , mGuarded(aTls == nullptr)
  , mOpenedAt(aClock.Now())
{
  setHost(aTo.mHost);
  setPort(aTo.mPort);
  setKeepAlive(true);
}

void
HttpSession::Open()
{
  if (!connected()) {
    reconnect();
  }
}

void
HttpSession::Limit(Duration aLimit)
{
  const Poco::Timespan limit = ToTimespan(aLimit);
  setTimeout(limit, limit, limit);
  if (!mGuarded && connected()) {
    // setTimeout takes effect at the next connect only.
    socket().setSendTimeout(limit);
    socket().setReceiveTimeout(limit);
  }
  mGuard.SetDeadline(mClock.Now() + aLimit);
}

bool
HttpSession::IsIdle()
{
  return connected() &&
         !socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

bool
HttpSession::SendRaw(std::string_view aBytes)
{
  const int fd = socket().impl()->sockfd();
  while (!aBytes.empty()) {
    pollfd entry{ fd, POLLIN | POLLOUT, 0 };
    mGuard.Await([&entry](milliseconds aWait) {
      return ::poll(&entry, 1, static_cast<int>(aWait.count())) > 0;
    });
    if ((entry.revents & POLLIN) != 0) {
      return false;
    }
    const ssize_t n =
      ::send(fd, aBytes.data(), aBytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
      throw Poco::Net::ConnectionResetException("while sending", errno);
    }
    if (n > 0) {
      mGuard.AddSent(static_cast<uint64_t>(n));
      aBytes.remove_prefix(static_cast<size_t>(n));
    }
  }
  return true;
}

size_t
HttpSession::ReadRaw(std::span<char> aInto)
{
  const int n = read(aInto.data(), static_cast<std::streamsize>(aInto.size()));
  return n > 0 ? static_cast<size_t>(n) : 0;
}

SessionPool::SessionPool(const Clock& aClock,
                         std::shared_ptr<const TlsContext> aTls)
  : mClock(aClock)
  , mTls(std::move(aTls))
{
}

SessionPool::Session
SessionPool::Take(const Endpoint& aTo)
{
  Shard& shard = ShardOf(aTo);
  const std::lock_guard guard(shard.mLock);
  std::vector<Idle>& idle = shard.mIdle[aTo];
  const TimePoint now = mClock.Now();
  std::erase_if(idle, [&](const Idle& it) { return it.mExpires <= now; });
  if (idle.empty()) {
    return Make(aTo);
  }
  Session session = std::move(idle.back().mSession);
  idle.pop_back();
  return session;
}

SessionPool::Session
SessionPool::Make(const Endpoint& aTo) const
{
  return std::make_unique<HttpSession>(aTo, mClock, mTls.get());
}

void
SessionPool::Keep(const Endpoint& aTo, Session aSession)
{
  Shard& shard = ShardOf(aTo);
  const std::lock_guard guard(shard.mLock);
  std::vector<Idle>& idle = shard.mIdle[aTo];
  if (idle.size() < kMaxIdlePerEndpoint) {
    idle.push_back({ std::move(aSession), mClock.Now() + kIdleLife });
  }
}

void
SessionPool::DiscardOpenedBefore(const Endpoint& aTo, TimePoint aTime)
{
  Shard& shard = ShardOf(aTo);
  const std::lock_guard guard(shard.mLock);
  std::erase_if(shard.mIdle[aTo], [&](const Idle& it) {
    return it.mSession->OpenedAt() < aTime;
  });
}

SessionPool::Shard&
SessionPool::ShardOf(const Endpoint& aTo)
{
  return mShards[(std::hash<std::string>()(aTo.mHost) + aTo.mPort) % kShards];
}

Result<void>
Connect(HttpSession& aSession, const Endpoint& aTo, Duration aLimit)
{
  try {
    aSession.Limit(aLimit);
    aSession.Open();
  } catch (const Poco::Exception& e) {
    return Failure{ Error::ConnectFailed,
                    ToString(aTo) + ": " + e.displayText(),
                    "" };
  }
  return boost::outcome_v2::success();
}

Poco::Timespan
ToTimespan(Duration aDuration)
{
  const int64_t millis = std::max<int64_t>(ToMillis(aDuration), 1);
  return { millis * Poco::Timespan::MILLISECONDS };
}

} // namespace hibiscushold
