#include "callers.h"
#include "gateway/promptparts.h"

#include <thread>

using namespace hibiscushold;

namespace {

/// Between the ends of two targets, which are then not taken for one event.
constexpr auto kBetweenEnds = milliseconds(150);

/// @return a stream request whose prompt has these parts
std::string
StreamRequest(const std::string& aParts)
{
  return "POST /stream/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nParts: " + aParts +
         "\r\nContent-Length: 0\r\n\r\n";
}

/// @return a plain request for this path below that of its route
std::string
LookupRequest(const std::string& aPath, const std::string& aMethod = "GET")
{
  return aMethod + " /lookup/" + aPath +
         " HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n";
}

} // namespace

TEST_GROUP(Quarantine)
{
  GatewayFixture mGateway;
  std::vector<std::unique_ptr<ScriptedServer>> mServers;

  /// Adds targets that end their connection at the first request.
  void AddEndingTargets(int aCount)
  {
    for (int n = 0; n < aCount; ++n) {
      mServers.push_back(std::make_unique<ScriptedServer>(
        std::vector<ScriptedServer::Response>{ { "", false, true } }));
      mGateway.AddTarget(*mServers.back());
    }
  }

  std::atomic<int> mLookUps{ 0 }; ///< of the targets

  size_t RequestsAtTargets() const
  {
    size_t n = 0;
    for (const auto& it : mServers) {
      n += it->Requests().size();
    }
    return n;
  }

  /// Sends a stream request with these parts, then removes the targets that
  /// ended.
  std::string Ask(const std::string& aParts)
  {
    return AskAndRemove(StreamRequest(aParts));
  }

  /// Sends a request, then removes the targets that ended.
  std::string AskAndRemove(const std::string& aRequest)
  {
    std::this_thread::sleep_for(kBetweenEnds);
    const ReceivedResponse got = mGateway.Ask(aRequest, "}");
    const std::lock_guard guard(mGateway.mTargetsLock);
    std::erase_if(mGateway.mTargets.mByService["engines"], [&](const auto& it) {
      const size_t index = std::stoul(it.mVmId.substr(3)) - 1;
      return !mServers[index]->Requests().empty();
    });
    return got.mBytes;
  }
};

// Guards against requests with one part in their prompts that end target after
// target, although several have ended under that part before.
TEST(Quarantine, PartThatEndsTargetsReachesNoFurtherTarget)
{
  AddEndingTargets(10);
  mGateway.mConfig.mRoutes[0].mAttempts = 1;
  mGateway.Start();
  for (int n = 1; n <= 5; ++n) {
    (void)Ask("c1:40,bad:7,d" + std::to_string(n) + ":9");
  }
  const size_t before = RequestsAtTargets();
  const std::string refusal = Ask("c2:40,bad:7,d6:9");
  CHECK_EQUAL(before, RequestsAtTargets());
  STRCMP_CONTAINS("HTTP/1.1 503", refusal.c_str());
  STRCMP_CONTAINS("Retry-After: ", refusal.c_str());
}

// Guards against one request that ends target after target, as callers send it
// again with the same path, account and body.
TEST(Quarantine, RepeatedRequestThatEndsTargetsReachesNoFurtherTarget)
{
  AddEndingTargets(10);
  mGateway.mConfig.mRoutes[0].mAttempts = 1;
  mGateway.Start();
  for (int n = 1; n <= 3; ++n) {
    (void)Ask("c1:40,d1:9");
  }
  STRCMP_CONTAINS("HTTP/1.1 503", Ask("c1:40,d1:9").c_str());
  CHECK_EQUAL(3U, RequestsAtTargets());
  STRCMP_CONTAINS("HTTP/1.1 502", Ask("c1:40,d2:9").c_str());
  CHECK_EQUAL(4U, RequestsAtTargets());
}

// Guards against one request that ends target after target because each repeat
// has another query or method, and so counts as a new request.
TEST(Quarantine, RepeatsThatDifferInTheirQueryReachNoFurtherTarget)
{
  AddEndingTargets(10);
  mGateway.mConfig.mRoutes[1].mAttempts = 1;
  mGateway.Start();
  for (const char* it : { "bad?page=1", "bad?page=2&sort=new", "bad" }) {
    STRCMP_CONTAINS("HTTP/1.1 502", AskAndRemove(LookupRequest(it)).c_str());
  }
  for (const char* it : { "bad?page=3", "bad?page=2&sort=new", "bad?" }) {
    STRCMP_CONTAINS("HTTP/1.1 503", AskAndRemove(LookupRequest(it)).c_str());
  }
  STRCMP_CONTAINS("HTTP/1.1 503",
                  AskAndRemove(LookupRequest("bad", "OPTIONS")).c_str());
  CHECK_EQUAL(3U, RequestsAtTargets());
  // Other requests of the same account still reach targets.
  STRCMP_CONTAINS("HTTP/1.1 502",
                  AskAndRemove(LookupRequest("good?page=1")).c_str());
}

// Guards against a request that is tried again after its part has been found to
// end targets.
TEST(Quarantine, RequestIsNotRepeatedOnceItsPartIsKnown)
{
  AddEndingTargets(10);
  mGateway.mConfig.mRoutes[0].mAttempts = 1;
  mGateway.Start();
  (void)Ask("c1:40,bad:7,d1:9");
  (void)Ask("c1:40,bad:7,d2:9");
  mGateway.mConfig.mRoutes[0].mAttempts = 5;
  mGateway.ChangeConfig();
  STRCMP_CONTAINS("HTTP/1.1 502", Ask("c1:40,bad:7,d3:9").c_str());
  CHECK_EQUAL(3U, RequestsAtTargets());
}

// Guards against parts that are blamed for targets which the platform has taken
// from its list.
TEST(Quarantine, TargetThatIsNoLongerListedAccusesNobody)
{
  AddEndingTargets(1);
  mGateway.mConfig.mRoutes[0].mAttempts = 1;
  mGateway.mBeforeTargets = [this] {
    if (++mLookUps > 1) { // after the break
      const std::lock_guard guard(mGateway.mTargetsLock);
      mGateway.mTargets.mByService.clear();
    }
  };
  mGateway.Start();
  STRCMP_CONTAINS("HTTP/1.1 502", Ask("c1:40,bad:7,d1:9").c_str());
  CHECK_EQUAL(1U, RequestsAtTargets());
  CHECK(mGateway.mQuarantine.ChangesSince({}).empty());
}

// Guards against a sound part that stays quarantined because no node sends a
// request with it any more.
TEST(Quarantine, AnswerToATrialEndsTheQuarantine)
{
  ScriptedServer sound(
    { { StreamHead() + Event(1) + kEnd }, { StreamHead() + Event(1) + kEnd } });
  mGateway.AddTarget(sound);
  mGateway.Start();
  const std::vector<TraitId> parts = ParseSharedParts("c1:40,bad:7,d1:9");
  TimePoint at = mGateway.mClock.Now() - seconds(40);
  for (TraitId n = 1; n <= kMinCrashes; ++n) {
    mGateway.mQuarantine.RecordCrash({ n, parts }, n, {}, at += kBetweenEnds);
  }
  const std::string request = StreamRequest("c1:40,bad:7,d9:9");
  STRCMP_CONTAINS("HTTP/1.1 503", mGateway.Ask(request, "}").mBytes.c_str());
  mGateway.mQuarantine.SetMakesTrials(true);
  for (int n = 0; n < 2; ++n) {
    STRCMP_CONTAINS("HTTP/1.1 200", mGateway.Ask(request, kEnd).mBytes.c_str());
  }
}

// Guards against a request that waits at a target until it ends it, although
// its part has been quarantined meanwhile.
TEST(Quarantine, WaitingAttemptIsGivenUp)
{
  ScriptedServer silent({ { "" } });
  mGateway.AddTarget(silent);
  mGateway.Start();
  std::thread others([this] {
    std::this_thread::sleep_for(kBetweenEnds);
    const std::vector<TraitId> parts = ParseSharedParts("c1:40,bad:7,d1:9");
    TimePoint at = mGateway.mClock.Now() - milliseconds(1000);
    for (TraitId n = 1; n <= kMinCrashes; ++n) {
      mGateway.mQuarantine.RecordCrash({ n, parts }, n, {}, at += kBetweenEnds);
    }
  });
  const TimePoint start = mGateway.mClock.Now();
  const ReceivedResponse got =
    mGateway.Ask(StreamRequest("c1:40,bad:7,d9:9"), "}");
  others.join();
  STRCMP_CONTAINS("HTTP/1.1 502", got.mBytes.c_str());
  CHECK(mGateway.mClock.Now() - start < milliseconds(2000));
  CHECK_EQUAL(0U, silent.WaitUntilClosed());
}

// Guards against a target that breaks off an answer without a length, which
// then looks complete and clears the part that ended the target.
TEST(Quarantine, AnswerThatEndsWithItsConnectionClearsNothing)
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n"
                           "Content-Type: text/event-stream\r\n\r\n";
  ScriptedServer ending({ { head + "id: 1\n\n", true } });
  mGateway.AddTarget(ending);
  mGateway.Start();
  const std::vector<TraitId> parts = ParseSharedParts("c1:40,bad:7,d1:9");
  TimePoint at = mGateway.mClock.Now() - milliseconds(1000);
  for (TraitId n = 1; n < kMinCrashes; ++n) {
    mGateway.mQuarantine.RecordCrash({ n, parts }, n, {}, at += kBetweenEnds);
  }
  (void)mGateway.Ask(StreamRequest("c1:40,bad:7,d9:9"), kEnd);
  for (const CrashNotice& it : mGateway.mQuarantine.ChangesSince({})) {
    CHECK(!it.mCrash.mRefuted);
  }
}
