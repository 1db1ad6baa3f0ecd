#pragma once

#include "gatewayfixture.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace hibiscushold {

inline const std::string kLookupRequest =
  "GET /lookup/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n";

inline const std::string kStreamRequest =
  "POST /stream/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 0\r\n\r\n";

/// A request that may run once.
inline const std::string kOrderRequest =
  "POST /order/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 0\r\n\r\n";

/// Silence of a target that goes on afterwards; longer than any time after
/// which a target counts as stalled.
inline constexpr auto kSilence = milliseconds(1200);

/// End of a chunked response.
inline constexpr const char* kEnd = "0\r\n\r\n";

/// Makes the node count as cut off from its targets, without an answer for a
/// second.
inline void
CutOffFromTargets(GatewayFixture& aNode)
{
  const TimePoint now = aNode.mClock.Now();
  aNode.mReach.RecordAnswer(now - milliseconds(1500));
  aNode.mReach.RecordProbes({ 0, 10 }, now);
  aNode.mReach.RecordReachOfOthers(now);
}

/// @return the head of a target's event stream
inline std::string
StreamHead()
{
  return "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n"
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

/// @return one chunk with the event of this id, which must have one digit
inline std::string
Event(int aId)
{
  return "7\r\nid: " + std::to_string(aId) + "\n\n\r\n";
}

/// Checks that the response to kStreamRequest is a complete stream of the
/// events 1 to aLast.
inline void
CheckEvents(const GatewayFixture& aGateway, int aLast)
{
  const ReceivedResponse got = aGateway.Ask(kStreamRequest, kEnd);
  std::string expected;
  for (int n = 1; n <= aLast; ++n) {
    expected += Event(n);
  }
  CHECK(!got.mReset);
  const size_t body = got.mBytes.find("\r\n\r\n");
  CHECK(body != std::string::npos);
  STRCMP_EQUAL((expected + kEnd).c_str(), got.mBytes.substr(body + 4).c_str());
}

/// @return what follows the head of the response
inline std::string
BodyOf(const std::string& aResponse)
{
  const size_t end = aResponse.find("\r\n\r\n");
  return end == std::string::npos ? "" : aResponse.substr(end + 4);
}

/// @return a whole response of a target
inline std::string
Reply(const std::string& aBody, const std::string& aId = "r1")
{
  return "HTTP/1.1 200 OK\r\nId: " + aId +
         "\r\nProof: p\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

/// @return a request whose body follows
inline std::string
Head(const std::string& aFields, const std::string& aId = "r1")
{
  return "POST /lookup/x HTTP/1.1\r\nHost: h\r\nId: " + aId + "\r\n" + aFields +
         "\r\n";
}

inline void
Send(Poco::Net::StreamSocket& aSocket, const std::string& aBytes)
{
  aSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
}

/// Reads one response and the end of its connection, which must be no reset.
inline ReceivedResponse
ReceiveWhole(Poco::Net::StreamSocket& aCaller)
{
  ReceivedResponse got = GatewayFixture::Receive(aCaller, "no end");
  CHECK_TEXT(!got.mReset, "the connection was reset");
  CHECK_TEXT(got.mEnded, "the connection stays open");
  return got;
}

} // namespace hibiscushold
