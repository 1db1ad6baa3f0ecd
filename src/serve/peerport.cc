#include "serve/peerport.h"

#include "cluster/peerclient.h"
#include "core/compress.h"
#include "observe/events.h"

#include <Poco/Exception.h>

#include <array>

namespace hibiscushold {

namespace {

constexpr size_t kMaxMessageBytes = 8000000;
/// For the whole message.
constexpr auto kMessageTimeout = milliseconds(30000);
/// Estimated size of the headers of a call, which are not counted exactly.
constexpr size_t kHeaderBytesEstimate = 200;
/// Shorter replies fit into a packet or two anyway.
constexpr size_t kMinDeflatedBytes = 2048;

void
Send(ResponseWriter& aWriter,
     int aStatus,
     const std::string& aType,
     std::string_view aBody)
{
  aWriter.SendComplete(aStatus, { { "Content-Type", aType } }, aBody);
}

/// @return the body; nothing if it has no length, is too long or was cut off
std::optional<std::string>
ReadMessage(ServerRequest& aRequest)
{
  const RequestHead& head = aRequest.Head();
  if (head.mFraming != BodyFraming::Length || head.mLength > kMaxMessageBytes) {
    return std::nullopt;
  }
  aRequest.Session().SetDeadline(SystemClock().Now() + kMessageTimeout);
  std::string message;
  std::array<char, 16384> buf;
  try {
    BodyReader& body = aRequest.Body();
    for (size_t n = body.Read(buf); n > 0; n = body.Read(buf)) {
      message.append(buf.data(), n);
    }
  } catch (const Poco::Exception& e) {
    LogEvent(EventId::RequestUnreadable, { { "reason", e.displayText() } });
    return std::nullopt;
  }
  return message;
}

/// Answers a call of JSON-RPC.
/// @param aMetrics counts the bytes served; null to count none
void
HandleCall(RpcServer& aMethods,
           const TokenSet& aTokens,
           Metrics* aMetrics,
           ServerRequest& aRequest,
           ResponseWriter& aWriter)
{
  const RequestHead& head = aRequest.Head();
  if (!aTokens.Accepts(FieldOf(head, "Authorization"))) {
    aWriter.SetKeepsConnection(false);
    Send(aWriter, 401, "text/plain", "the token is missing or wrong\n");
    return;
  }
  const std::optional<std::string> message = ReadMessage(aRequest);
  if (!message) {
    aWriter.SetKeepsConnection(false);
    Send(aWriter,
         400,
         "text/plain",
         "the message has no length, is too long or was cut off\n");
    return;
  }
  std::string reply = aMethods.HandleMessage(*message);
  std::vector<HttpField> fields{ { "Content-Type", "application/json" } };
  if (reply.size() >= kMinDeflatedBytes &&
      FieldOf(head, "Accept-Encoding") == kDeflateEncoding) {
    fields.push_back({ "Content-Encoding", kDeflateEncoding });
    fields.push_back({ kOriginalLengthField, std::to_string(reply.size()) });
    reply = Deflate(reply);
  }
  if (aMetrics != nullptr) {
    aMetrics->CountServedBytes(message->size() + reply.size() +
                               kHeaderBytesEstimate);
  }
  aWriter.SendComplete(200, fields, reply);
}

} // namespace

RequestHandler
MakePeerHandler(PeerPortDependencies aDependencies)
{
  return [aDependencies](ServerRequest& aRequest, ResponseWriter& aWriter) {
    const std::string& path = aRequest.Head().mUri;
    if (path == kRpcPath) {
      HandleCall(aDependencies.mPeerMethods,
                 aDependencies.mPeerTokens,
                 &aDependencies.mMetrics,
                 aRequest,
                 aWriter);
    } else if (path == kOperatorPath) {
      HandleCall(aDependencies.mOperatorMethods,
                 aDependencies.mOperatorTokens,
                 nullptr,
                 aRequest,
                 aWriter);
    } else if (path == "/metrics") {
      Send(aWriter,
           200,
           "text/plain; version=0.0.4",
           aDependencies.mMetrics.Render());
    } else {
      aWriter.SetKeepsConnection(false);
      Send(aWriter, 404, "text/plain", "no page\n");
    }
  };
}

} // namespace hibiscushold
