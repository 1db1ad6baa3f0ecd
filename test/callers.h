#pragma once

#include "gatewayfixture.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace hibiscushold {

inline const std::string kLookupRequest =
  "GET /lookup/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n";

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
