#include "serve/responsewriter.h"

#include "core/guardedsocket.h"
#include "core/headtext.h"
#include "core/sessionpool.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <array>
#include <cstdio>

namespace hibiscushold {

namespace {

/// Limits for callers that go on sending after their request was refused.
constexpr auto kMaxDiscardTime = milliseconds(2000);
constexpr size_t kMaxDiscardedBytes = 16777216;
/// Answers that are sent when there is no memory to render one.
constexpr std::string_view kFailedAnswer =
  "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: Close\r\n\r\n";
constexpr std::string_view kNotRunAnswer =
  "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
  "Retry-After: 1\r\nConnection: Close\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

void
DiscardUntilClosed(Poco::Net::StreamSocket& aSocket, const Clock& aClock)
{
  const TimePoint until = aClock.Now() + kMaxDiscardTime;
  size_t discarded = 0;
  std::array<char, 16384> buf;
  try {
    aSocket.shutdownSend();
    while (discarded < kMaxDiscardedBytes) {
      const Duration left = TimeLeft(until, aClock.Now());
      if (left == Duration::zero() ||
          !aSocket.poll(ToTimespan(left), Poco::Net::Socket::SELECT_READ)) {
        return;
      }
      const int n =
        aSocket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
      if (n <= 0) {
        return;
      }
      discarded += static_cast<size_t>(n);
    }
  } catch (const Poco::Exception&) {
    // The peer has reset the connection, so nothing can reach it any more.
    return;
  }
}

ResponseWriter::ResponseWriter(ServerSession& aSession,
                               const RequestHead& aHead)
  : mSession(aSession)
  , mIsHead(aHead.mMethod == "HEAD")
  , mVersion(aHead.mIsHttp10 ? "HTTP/1.0" : "HTTP/1.1")
  , mKeepsConnection(aHead.mKeepsConnection)
{
}

void
ResponseWriter::SendContinue()
{
  Send(kContinue);
}

std::string
ResponseWriter::MakeHead(int aStatus,
                         const std::optional<HttpField>& aFraming,
                         const std::vector<HttpField>& aFields)
{
  std::vector<HttpField> fields{
    { "Date",
      Poco::DateTimeFormatter::format(Poco::Timestamp(),
                                      Poco::DateTimeFormat::HTTP_FORMAT) },
    { "Connection", mKeepsConnection ? "Keep-Alive" : "Close" }
  };
  if (aFraming) {
    fields.push_back(*aFraming);
  }
  fields.insert(fields.end(), aFields.begin(), aFields.end());
  Result<std::string> head = RenderResponseHead(mVersion, aStatus, fields);
  if (!head) {
    throw Poco::Net::MessageException(head.error().mDetail);
  }
  return std::move(head.value());
}

bool
ResponseWriter::SendComplete(int aStatus,
                             const std::vector<HttpField>& aFields,
                             std::string_view aBody)
{
  const bool hasNoBody = aStatus == 204 || aStatus == 304;
  std::optional<HttpField> length;
  if (!hasNoBody) {
    length = { "Content-Length", std::to_string(aBody.size()) };
  }
  std::string response = MakeHead(aStatus, length, aFields);
  if (!hasNoBody && !mIsHead) {
    response.append(aBody);
  }
  mStarted = true;
  return Send(response);
}

bool
ResponseWriter::StartStream(int aStatus, const std::vector<HttpField>& aFields)
{
  const std::string head =
    MakeHead(aStatus, HttpField{ "Transfer-Encoding", "chunked" }, aFields);
  mStarted = true;
  return Send(head);
}

bool
ResponseWriter::SendChunk(std::string_view aBytes)
{
  char size[24];
  const int n = std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  std::string chunk(size, static_cast<size_t>(n));
  chunk.append(aBytes).append("\r\n");
  return Send(chunk);
}

bool
ResponseWriter::EndStream()
{
  return Send("0\r\n\r\n");
}

void
ResponseWriter::Abort()
{
  mKeepsConnection = false;
  try {
    mSession.socket().setLinger(true, 0);
    mSession.socket().shutdown();
  } catch (const Poco::Exception&) {
    // The connection has already failed, so there is nothing left to close.
    return;
  }
}

void
ResponseWriter::SendWithoutMemory(bool aMayHaveRun,
                                  const Clock& aClock) noexcept
{
  try {
    if (mStarted) {
      Abort();
      return;
    }
    mStarted = true;
    Send(aMayHaveRun ? kFailedAnswer : kNotRunAnswer);
    DiscardRest(aClock);
  } catch (...) {
    // The connection is closed when its thread has ended the request.
    return;
  }
}

void
ResponseWriter::DiscardRest(const Clock& aClock)
{
  mKeepsConnection = false;
  DiscardUntilClosed(mSession.socket(), aClock);
}

bool
ResponseWriter::IsCallerDisconnected() const
{
  return IsPeerGone(mSession.socket());
}

bool
ResponseWriter::Send(std::string_view aBytes)
{
  try {
    mSession.socket().sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
    return true;
  } catch (const Poco::Exception&) {
    // Any send error means that the caller cannot be reached any more.
    mKeepsConnection = false;
    return false;
  }
}

} // namespace hibiscushold
