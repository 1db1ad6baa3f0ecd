#include "callers.h"
#include "nomemory/refusal.h"
#include "scriptedserver.h"

#include <new>

using namespace hibiscushold;
using namespace hibiscushold::nomemory;

namespace {

/// More than ending a failed request asks for.
constexpr size_t kAll = 1000;

const std::string kLastRequest =
  "GET /lookup/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
  "Connection: close\r\n\r\n";

/// @return whether the response claims to be that of a target
bool
HasProof(const ReceivedResponse& aGot)
{
  return aGot.mBytes.find("Proof: p") != std::string::npos;
}

bool
StartsWith(const ReceivedResponse& aGot, int aStatus)
{
  return aGot.mBytes.starts_with("HTTP/1.1 " + std::to_string(aStatus));
}

} // namespace

/// A request whose thread is refused memory is answered, and leaves nothing
/// locked or counted.
TEST_GROUP(NoMemoryRequest)
{
  GatewayFixture mGateway;

  void CheckNothingIsCounted() const
  {
    for (int n = 0; n < 100 && mGateway.mRunning > 0; ++n) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK_EQUAL(0U, mGateway.mRunning.load());
    CHECK_EQUAL(0U, mGateway.mLoads.Get("vm-1").mInFlight);
    CHECK_EQUAL(0U, mGateway.mBuffers.Taken());
    CHECK_EQUAL(0U, mGateway.mBodies.Taken());
  }
};

// Guards against a connection that is closed without an answer because the
// answer to a failed request needs memory too.
TEST(NoMemoryRequest, AFailureIsAnsweredWithoutMemory)
{
  mGateway.Start();
  mGateway.mBeforeTargets = [] {
    RefuseNext(0, kAll);
    throw std::bad_alloc();
  };
  const ReceivedResponse got = mGateway.Ask(kLookupRequest, "\r\n\r\n");
  CHECK(StartsWith(got, 502));
  CHECK(!got.mReset);
  CheckNothingIsCounted();
}

// Guards against an answer that is cut short, has fields of another one or is
// missing, when any one allocation of a request is refused.
TEST(NoMemoryRequest, EachRefusedAllocationLeavesAWholeAnswer)
{
  const std::vector<ScriptedServer::Response> script(
    600, ScriptedServer::Response{ Reply("done"), false });
  ScriptedServer target(script);
  mGateway.AddTarget(target);
  mGateway.Start();
  std::atomic<bool> isArmed{ false };
  size_t granted = 0;
  mGateway.mBeforeTargets = [&] {
    if (!isArmed.exchange(true)) {
      RefuseNext(granted, 1);
    }
  };
  size_t refusedBefore = 0;
  size_t sentBefore = 0;
  do {
    refusedBefore = CountRefused();
    isArmed = false;
    const ReceivedResponse got = mGateway.Ask(kLastRequest, "no end");
    const std::string text =
      "allocation " + std::to_string(granted) + ": " + got.mBytes;
    const bool isWhole =
      StartsWith(got, 200) && HasProof(got) && BodyOf(got.mBytes) == "done";
    const bool isRefused =
      (StartsWith(got, 502) || StartsWith(got, 503)) && !HasProof(got);
    CHECK_TEXT(isWhole || isRefused, text.c_str());
    const size_t sent = target.Requests().size();
    CHECK_TEXT(!StartsWith(got, 503) || sent == sentBefore, text.c_str());
    sentBefore = sent;
    CheckNothingIsCounted();
    ++granted;
  } while (CountRefused() > refusedBefore);
  CHECK(granted > 10);
}
