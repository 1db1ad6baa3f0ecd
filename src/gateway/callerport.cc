#include "gateway/callerport.h"

#include "core/guardedsocket.h"

#include <Poco/Exception.h>

#include <cstdio>
#include <sstream>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPServerResponse;

} // namespace

CallerPort::CallerPort(Poco::Net::HTTPServerRequest& aRequest,
                       Poco::Net::HTTPServerResponse& aResponse)
  : mRequest(dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest))
  , mResponse(aResponse)
{
}

std::string
CallerPort::MakeHead(int aStatus, const std::vector<HttpField>& aFields)
{
  mStarted = true;
  mResponse.setStatusAndReason(
    static_cast<HTTPServerResponse::HTTPStatus>(aStatus));
  for (const HttpField& it : aFields) {
    mResponse.add(it.mName, it.mValue);
  }
  std::ostringstream text;
  mResponse.write(text);
  return text.str();
}

bool
CallerPort::SendWhole(int aStatus,
                      const std::vector<HttpField>& aFields,
                      std::string_view aBody)
{
  const bool bodiless = aStatus == 204 || aStatus == 304;
  if (!bodiless) {
    mResponse.setContentLength64(static_cast<int64_t>(aBody.size()));
  }
  std::string answer = MakeHead(aStatus, aFields);
  if (!bodiless && mRequest.getMethod() != "HEAD") {
    answer.append(aBody);
  }
  return Send(answer);
}

bool
CallerPort::StartStream(int aStatus, const std::vector<HttpField>& aFields)
{
  mResponse.setChunkedTransferEncoding(true);
  return Send(MakeHead(aStatus, aFields));
}

bool
CallerPort::SendPart(std::string_view aBytes)
{
  char size[24];
  const int n = std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  std::string chunk(size, static_cast<size_t>(n));
  chunk.append(aBytes).append("\r\n");
  return Send(chunk);
}

bool
CallerPort::EndStream()
{
  return Send("0\r\n\r\n");
}

void
CallerPort::Abort()
{
  mResponse.setKeepAlive(false);
  try {
    mRequest.socket().setLinger(true, 0);
    mRequest.socket().shutdown();
  } catch (const Poco::Exception&) {
    // The connection has failed already, which is what is wanted.
    return;
  }
}

bool
CallerPort::IsGone() const
{
  return IsPeerGone(mRequest.socket());
}

bool
CallerPort::Send(std::string_view aBytes)
{
  try {
    mRequest.socket().sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
    return true;
  } catch (const Poco::Exception&) {
    // Whatever the reason, nothing more reaches this caller.
    mResponse.setKeepAlive(false);
    return false;
  }
}

} // namespace hibiscushold
