#include "core/sessionpool.h"

#include "core/headtext.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SecureStreamSocket.h>
#include <Poco/Net/SocketImpl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace hibiscushold {

namespace {

constexpr auto kIdleTimeout = seconds(4);
constexpr size_t kMaxIdlePerEndpoint = 32;
constexpr int kMaxInterimResponses = 8;
constexpr size_t kMaxSendBytes = 1 << 20;

Poco::Net::StreamSocket
CreateSocket(const TlsContext* aTls, TransferLimiter& aLimiter)
{
  if (aTls == nullptr) {
    return GuardedSocket(aLimiter);
  }
  return Poco::Net::SecureStreamSocket(aTls->Current());
}

} // namespace

HttpSession::HttpSession(const Endpoint& aEndpoint,
                         const Clock& aClock,
                         const TlsContext* aTls)
  : TransferLimiterBase(aClock)
  , HTTPClientSession(CreateSocket(aTls, mLimiter))
  , mClock(aClock)
  , mIsGuarded(aTls == nullptr)
  , mCreatedAt(aClock.Now())
  , mParser(false)
{
  setHost(aEndpoint.mHost);
  setPort(aEndpoint.mPort);
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
HttpSession::SetTimeouts(Duration aTimeout)
{
  const Poco::Timespan timeout = ToTimespan(aTimeout);
  setTimeout(timeout, timeout, timeout);
  if (!mIsGuarded && connected()) {
    // setTimeout only applies from the next connect on.
    socket().setSendTimeout(timeout);
    socket().setReceiveTimeout(timeout);
  }
  mLimiter.SetDeadline(mClock.Now() + aTimeout);
}

bool
HttpSession::IsReusable()
{
  return connected() &&
         !socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

Result<void>
HttpSession::SendRequest(std::string_view aMethod,
                         std::string_view aPath,
                         std::span<const HttpField> aFields,
                         std::string_view aBody)
{
  std::vector<HttpField> fields(aFields.begin(), aFields.end());
  if (CountFields(fields, "Host") == 0) {
    fields.push_back({ "Host", getHost() + ":" + std::to_string(getPort()) });
  }
  fields.push_back({ "Connection", "Keep-Alive" });
  if (!aBody.empty() || aMethod != "GET") {
    fields.push_back({ "Content-Length", std::to_string(aBody.size()) });
  }
  BOOST_OUTCOME_TRY(text, RenderRequestHead(aMethod, aPath, fields));
  text.append(aBody);
  const std::string_view bytes = text;
  size_t sent = 0;
  while (sent < bytes.size()) {
    const size_t n = std::min<size_t>(bytes.size() - sent, kMaxSendBytes);
    const int written =
      socket().sendBytes(bytes.data() + sent, static_cast<int>(n));
    if (written <= 0) {
      throw Poco::Net::ConnectionResetException("while sending");
    }
    sent += static_cast<size_t>(written);
  }
  return boost::outcome_v2::success();
}

ResponseHead
HttpSession::ReceiveHead(bool aIsBodyless)
{
  for (int n = 0; n <= kMaxInterimResponses; ++n) {
    ResponseHead head = ReceiveAnyHead(aIsBodyless);
    if (!IsInterim(head)) {
      return head;
    }
  }
  throw Poco::Net::MessageException("too many interim responses");
}

ResponseHead
HttpSession::ReceiveAnyHead(bool aIsBodyless)
{
  mParser = ResponseHeadParser(aIsBodyless);
  for (std::optional<char> byte = ReadByte(); byte; byte = ReadByte()) {
    const Result<bool> isComplete = mParser.Add(*byte);
    if (!isComplete) {
      throw Poco::Net::MessageException(isComplete.error().mDetail);
    }
    if (isComplete.value()) {
      return std::exchange(mParser, ResponseHeadParser(false)).Head();
    }
  }
  throw Poco::Net::ConnectionAbortedException(
    mParser.IsWithinHead() ? "the head was cut off" : "no response");
}

std::optional<char>
HttpSession::ReadByte()
{
  if (buffered() == 0) {
    refill();
  }
  char byte = 0;
  // The base class's get() has no value for the end that no byte has.
  return buffered() > 0 && read(&byte, 1) == 1 ? std::optional(byte)
                                               : std::nullopt;
}

bool
HttpSession::SendRaw(std::string_view aBytes)
{
  const int fd = socket().impl()->sockfd();
  while (!aBytes.empty()) {
    pollfd entry{ fd, POLLIN | POLLOUT, 0 };
    mLimiter.WaitUntilReady([&entry](milliseconds aWait) {
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
      mLimiter.AddSent(static_cast<uint64_t>(n));
      aBytes.remove_prefix(static_cast<size_t>(n));
    }
  }
  return true;
}

size_t
HttpSession::ReadRaw(std::span<char> aBuffer)
{
  const int n =
    read(aBuffer.data(), static_cast<std::streamsize>(aBuffer.size()));
  if (n < 0) {
    throw Poco::Net::ConnectionResetException("while reading");
  }
  return static_cast<size_t>(n);
}

std::optional<std::string_view>
HttpSession::PeekRaw(std::span<char> aBuffer)
{
  if (!mIsGuarded || mLimiter.SocketError() != 0) {
    return std::nullopt;
  }
  const ssize_t n = ::recv(socket().impl()->sockfd(),
                           aBuffer.data(),
                           aBuffer.size(),
                           MSG_PEEK | MSG_DONTWAIT);
  if (n < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      mLimiter.SetSocketError(errno);
    }
    return std::nullopt;
  }
  return std::string_view(aBuffer.data(), static_cast<size_t>(n));
}

SessionPool::SessionPool(const Clock& aClock,
                         std::shared_ptr<const TlsContext> aTls)
  : mClock(aClock)
  , mTls(std::move(aTls))
{
}

SessionPool::Session
SessionPool::Acquire(const Endpoint& aEndpoint)
{
  Session session = TakeIdle(aEndpoint);
  return session != nullptr && session->IsReusable() ? std::move(session)
                                                     : CreateSession(aEndpoint);
}

SessionPool::Session
SessionPool::TakeIdle(const Endpoint& aEndpoint)
{
  Shard& shard = ShardFor(aEndpoint);
  const std::lock_guard guard(shard.mLock);
  std::vector<IdleSession>& idle = shard.mIdle[aEndpoint];
  const TimePoint now = mClock.Now();
  std::erase_if(idle,
                [&](const IdleSession& it) { return it.mExpiresAt <= now; });
  if (idle.empty()) {
    return nullptr;
  }
  Session session = std::move(idle.back().mSession);
  idle.pop_back();
  return session;
}

SessionPool::Session
SessionPool::CreateSession(const Endpoint& aEndpoint) const
{
  return std::make_unique<HttpSession>(aEndpoint, mClock, mTls.get());
}

void
SessionPool::Release(const Endpoint& aEndpoint, Session aSession)
{
  Shard& shard = ShardFor(aEndpoint);
  const std::lock_guard guard(shard.mLock);
  std::vector<IdleSession>& idle = shard.mIdle[aEndpoint];
  if (idle.size() < kMaxIdlePerEndpoint) {
    idle.push_back({ std::move(aSession), mClock.Now() + kIdleTimeout });
  }
}

void
SessionPool::DiscardCreatedBefore(const Endpoint& aEndpoint, TimePoint aTime)
{
  Shard& shard = ShardFor(aEndpoint);
  const std::lock_guard guard(shard.mLock);
  std::erase_if(shard.mIdle[aEndpoint], [&](const IdleSession& it) {
    return it.mSession->CreatedAt() < aTime;
  });
}

SessionPool::Shard&
SessionPool::ShardFor(const Endpoint& aEndpoint)
{
  return mShards[(std::hash<std::string>()(aEndpoint.mHost) + aEndpoint.mPort) %
                 kShardCount];
}

Result<void>
Connect(HttpSession& aSession, const Endpoint& aEndpoint, Duration aTimeout)
{
  try {
    aSession.SetTimeouts(aTimeout);
    aSession.Open();
  } catch (const Poco::Exception& e) {
    return Failure{ Error::ConnectFailed,
                    ToString(aEndpoint) + ": " + e.displayText(),
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
