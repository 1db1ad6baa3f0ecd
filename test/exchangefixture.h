#pragma once

#include "gateway/exchange.h"
#include "scriptedserver.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <string>

namespace hibiscushold {

/// @return one chunk of a chunked body
inline std::string
Chunk(const std::string& aBytes)
{
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", aBytes.size());
  return std::string(size) + "\r\n" + aBytes + "\r\n";
}

class RecordingSink final : public StreamSink
{
public:
  bool OnHead(int aStatus, const std::vector<HttpField>&) override
  {
    mStatus = aStatus;
    return true;
  }

  bool OnEvents(std::string_view aEvents, uint64_t) override
  {
    mEvents += aEvents;
    return true;
  }

  bool IsCallerDisconnected() override { return mDisconnected; }
  bool OnStall(WaitingTransfer&) override { return false; }
  bool IsSuperseded() override { return false; }
  bool IsQuarantined() override { return false; }
  bool IsNodeExiting() override { return false; }

  int mStatus = 0;
  bool mDisconnected = false;
  std::string mEvents;
};

/// Runs exchanges with scripted targets.
class ExchangeFixture : public Utest
{
public:
  const ProtocolNames mProtocol{ "Id",      "Wait", "Last",    "Proof",
                                 "Account", "Vm",   "Not-Run", "Model",
                                 "Tokens",  "Rank", 421 };
  SystemClock mClock;
  SessionPool mPool{ mClock };
  TargetLoads mLoads;
  ByteBudget mBuffers{ 1000000 };
  TargetReach mReach{ mClock.Now() };
  RecordingSink mSink;

  ExchangeReport Run(const ScriptedServer& aServer,
                     bool aStream = false,
                     Duration aLimit = milliseconds(500),
                     uint64_t aLastEvent = 0)
  {
    const FleetTarget target{ "vm-1", aServer.Address(), "a", "m", {}, 1 };
    const TimePoint deadline = mClock.Now() + aLimit;
    ExchangeRequest request{ target,   "POST",   "/x",
                             {},       "body",   "r1",
                             deadline, deadline, milliseconds(200),
                             {},       0,        false,
                             false };
    request.mStream = aStream;
    request.mLastEvent = aLastEvent;
    return RunExchange(
      { mPool, mLoads, mBuffers, mReach, mProtocol, mClock }, request, mSink);
  }
};

} // namespace hibiscushold
