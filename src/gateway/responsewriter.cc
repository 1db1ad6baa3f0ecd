#include "gateway/responsewriter.h"

#include "core/guardedsocket.h"
#include "core/sessionpool.h"
#include "core/textstream.h"

#include <Poco/Exception.h>

#include <array>
#include <cstdio>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPServerResponse;

/// Limits for callers that go on sending after their request was refused.
constexpr auto kMaxDiscardTime = milliseconds(2000);
constexpr size_t kMaxDiscardedBytes = 16777216;
/// Answers that are sent when there is no memory to render one.
constexpr std::string_view kFailedAnswer =
  "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: Close\r\n\r\n";
constexpr std::string_view kNotRunAnswer =
  "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
  "Retry-After: 1\r\nConnection: Close\r\n\r\n";

/// Adds fields to a response for its own lifetime. If this response can't be
/// sent, another one is, which must not have them.
class FieldsOfOneHead
{
public:
  FieldsOfOneHead(HTTPServerResponse& aResponse,
                  const std::vector<HttpField>& aFields)
    : mResponse(aResponse)
    , mFields(aFields)
  {
    try {
      for (const HttpField& it : mFields) {
        mResponse.add(it.mName, it.mValue);
      }
    } catch (...) {
      Remove();
      throw;
    }
  }

  ~FieldsOfOneHead() { Remove(); }

  FieldsOfOneHead(const FieldsOfOneHead&) = delete;
  FieldsOfOneHead& operator=(const FieldsOfOneHead&) = delete;

private:
  void Remove()
  {
    for (const HttpField& it : mFields) {
      mResponse.erase(it.mName);
    }
  }

  HTTPServerResponse& mResponse;
  const std::vector<HttpField>& mFields;
};

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

ResponseWriter::ResponseWriter(Poco::Net::HTTPServerRequest& aRequest,
                               Poco::Net::HTTPServerResponse& aResponse)
  : mRequest(dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest))
  , mResponse(aResponse)
{
}

std::string
ResponseWriter::MakeHead(int aStatus, const std::vector<HttpField>& aFields)
{
  mResponse.setStatusAndReason(
    static_cast<HTTPServerResponse::HTTPStatus>(aStatus));
  const FieldsOfOneHead fields(mResponse, aFields);
  TextStream text;
  mResponse.write(text);
  return text.str();
}

bool
ResponseWriter::SendComplete(int aStatus,
                             const std::vector<HttpField>& aFields,
                             std::string_view aBody)
{
  const bool hasNoBody = aStatus == 204 || aStatus == 304;
  mResponse.setChunkedTransferEncoding(false);
  if (!hasNoBody) {
    mResponse.setContentLength64(static_cast<int64_t>(aBody.size()));
  }
  std::string response = MakeHead(aStatus, aFields);
  if (!hasNoBody && mRequest.getMethod() != "HEAD") {
    response.append(aBody);
  }
  mStarted = true;
  return Send(response);
}

bool
ResponseWriter::StartStream(int aStatus, const std::vector<HttpField>& aFields)
{
  mResponse.setChunkedTransferEncoding(true);
  const std::string head = MakeHead(aStatus, aFields);
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
  mResponse.setKeepAlive(false);
  try {
    mRequest.socket().setLinger(true, 0);
    mRequest.socket().shutdown();
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
  mResponse.setKeepAlive(false);
  DiscardUntilClosed(mRequest.socket(), aClock);
}

bool
ResponseWriter::IsCallerDisconnected() const
{
  return IsPeerGone(mRequest.socket());
}

bool
ResponseWriter::Send(std::string_view aBytes)
{
  try {
    mRequest.socket().sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
    return true;
  } catch (const Poco::Exception&) {
    // Any send error means that the caller cannot be reached any more.
    mResponse.setKeepAlive(false);
    return false;
  }
}

} // namespace hibiscushold
