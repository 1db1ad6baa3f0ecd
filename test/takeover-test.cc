#include "callers.h"

using namespace hibiscushold;

namespace {

std::string
StatusReply(const std::string& aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\nId: r1\r\nProof: p\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

TEST_GROUP(Takeover)
{
  GatewayFixture mGateway;

  /// Checks that the response to kLookupRequest has the status, ends with aEnd
  /// and arrives within three seconds.
  void CheckAnswer(const char* aStatus, const std::string& aEnd)
  {
    const TimePoint start = mGateway.mClock.Now();
    const ReceivedResponse got = mGateway.Ask(kLookupRequest, aEnd);
    CHECK(mGateway.mClock.Now() - start < milliseconds(3000));
    STRCMP_CONTAINS(aStatus, got.mBytes.c_str());
    CHECK(got.mBytes.ends_with(aEnd));
  }

  /// Checks that the late response of a target is forwarded while a second
  /// target is silent.
  void CheckLateAnswer(const ScriptedServer::Response& aLate,
                       const char* aStatus,
                       const std::string& aEnd)
  {
    ScriptedServer first({ aLate });
    ScriptedServer second({ { "" } });
    mGateway.AddTarget(first);
    mGateway.AddTarget(second);
    mGateway.mConfig.mRoutes[1].mTimeout = milliseconds(20000);
    mGateway.Start();
    CheckAnswer(aStatus, aEnd);
    CHECK_EQUAL(1U, second.Requests().size());
  }

  void Avoid(const std::string& aVm, milliseconds aTime)
  {
    mGateway.mLoads.AvoidUntil(aVm, mGateway.mClock.Now() + aTime);
  }
};

// Guards against a started stream that is reset because the target chosen
// beside a silent one answers with a failure.
TEST(Takeover, StreamSurvivesAFailureStatusOfTheSecondTarget)
{
  ScriptedServer first(
    { { StreamHead() + Event(1), false, false, Event(2) + kEnd, kSilence } });
  ScriptedServer second({ { StatusReply("404 Not Found", "") } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  CheckEvents(mGateway, 2);
}

// Guards against a final failure status that is held back until the deadline
// because the second target is silent.
TEST(Takeover, FailureStatusOfASilentTargetIsForwarded)
{
  CheckLateAnswer(
    { "", false, false, StatusReply("404 Not Found", "none"), kSilence },
    "HTTP/1.1 404",
    "none");
}

// Guards against a complete answer that is held back until the deadline because
// its head was cut in two by the silence.
TEST(Takeover, AnswerIsForwardedIfItsHeadWasReadInPart)
{
  const std::string reply = StatusReply("200 OK", "late");
  CheckLateAnswer(
    { reply.substr(0, 20), false, false, reply.substr(20), kSilence },
    "HTTP/1.1 200",
    "late");
}

// Guards against a complete answer that is held back until the deadline because
// an interim response precedes it.
TEST(Takeover, AnswerIsForwardedAfterAnInterimResponse)
{
  CheckLateAnswer(
    { "",
      false,
      false,
      "HTTP/1.1 100 Continue\r\n\r\n" + StatusReply("200 OK", "late"),
      kSilence },
    "HTTP/1.1 200",
    "late");
}

// Guards against a second target that is given up for a part of an event, after
// which the first one is silent again.
TEST(Takeover, StreamSurvivesAPartOfAnEvent)
{
  ScriptedServer first(
    { { StreamHead() + Event(1), false, false, "7\r\nid", kSilence } });
  ScriptedServer second(
    { { StreamHead(), false, false, Event(2) + kEnd, milliseconds(1500) } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  CheckEvents(mGateway, 2);
}

// Guards against a target that gets no requests because its answers, although
// sound, take over 0.6 of the latency target; the request could not have been
// sent to another target.
TEST(Takeover, SlowAnswerOfTheOnlyTargetDoesNotRefuseTheNextRequest)
{
  const ScriptedServer::Response slow{
    "", false, false, StatusReply("200 OK", "slow"), milliseconds(250)
  };
  ScriptedServer only({ slow, slow });
  mGateway.AddTarget(only);
  mGateway.mConfig.mRoutes[1].mAttempts = 1;
  mGateway.Start();
  (void)mGateway.Ask(kLookupRequest, "slow");
  const ReceivedResponse got = mGateway.Ask(kLookupRequest, "slow");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
}

// Guards against a started stream that is reset at once when it breaks for the
// second time, although another target is available soon.
TEST(Takeover, StreamMayWaitForATargetAfterEachBreak)
{
  ScriptedServer first({ { StreamHead() + Event(1), false, true } });
  ScriptedServer second({ { StreamHead() + Event(2),
                            false,
                            false,
                            "zz\r\n", // no length of a chunk
                            milliseconds(1500) } });
  ScriptedServer third({ { StreamHead() + Event(3) + kEnd } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.AddTarget(third);
  mGateway.mConfig.mRoutes[0].mAttempts = 3;
  Avoid("vm-2", milliseconds(300));
  Avoid("vm-3", milliseconds(2200));
  mGateway.Start();
  CheckEvents(mGateway, 3);
}

// Guards against a started stream that is reset because three targets refuse
// connections within milliseconds.
TEST(Takeover, StreamSurvivesThreeTargetsThatAreGone)
{
  ScriptedServer first({ { StreamHead() + Event(1), false, true } });
  ScriptedServer last({ { StreamHead() + Event(2) + kEnd } });
  mGateway.AddTarget(first);
  {
    ScriptedServer gone[3]{ ScriptedServer({}),
                            ScriptedServer({}),
                            ScriptedServer({}) };
    for (const ScriptedServer& it : gone) {
      mGateway.AddTarget(it);
    }
  }
  mGateway.AddTarget(last);
  Avoid("vm-5", milliseconds(200));
  mGateway.Start();
  CheckEvents(mGateway, 2);
}

// Guards against a started stream that is reset because the retry budget is
// used up for a moment.
TEST(Takeover, StreamWaitsForTheRetryBudget)
{
  ScriptedServer first({ { StreamHead() + Event(1), false, true } });
  ScriptedServer second({ { StreamHead() + Event(2) + kEnd } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  // All retries but those of the last moment of the window expire soon.
  const TimePoint old = mGateway.mClock.Now() - milliseconds(9800);
  while (mGateway.mRetryBudget.TryTakeRetry("engines", old)) {
  }
  CheckEvents(mGateway, 2);
}

// Guards against a sound target that gets no requests for a second after it has
// gone on, so that callers are refused.
TEST(Takeover, TargetThatWentOnTakesNewRequests)
{
  const std::string stream = StreamHead() + Event(1) + kEnd;
  ScriptedServer only({ { "", false, false, stream, kSilence }, { stream } });
  mGateway.AddTarget(only);
  mGateway.Start();
  CheckEvents(mGateway, 1);
  CheckEvents(mGateway, 1);
}

// Guards against a second target that is given up for a late response to an
// earlier request, although the first one stays silent.
TEST(Takeover, SecondTargetSurvivesALateResponseToAnEarlierRequest)
{
  std::string stale = StatusReply("200 OK", "stale");
  stale.replace(stale.find("r1"), 2, "r0");
  ScriptedServer first({ { StatusReply("200 OK", "one") },
                         { "", false, false, stale, kSilence } });
  ScriptedServer second(
    { { "", false, false, StatusReply("200 OK", "two"), milliseconds(1500) } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.mConfig.mRoutes[1].mTimeout = milliseconds(20000);
  mGateway.Start();
  (void)mGateway.Ask(kLookupRequest, "one");
  CheckAnswer("HTTP/1.1 200", "two");
  CHECK_EQUAL(2U, first.Requests().size());
}

// Guards against a second target that counts as stalled at once because of the
// requests that it had before, so that a third one is used up as well.
TEST(Takeover, SecondTargetGetsItsOwnTimeToRespond)
{
  ScriptedServer first({ { "" } });
  ScriptedServer second({ { "",
                            false,
                            false,
                            StreamHead() + Event(1) + kEnd,
                            milliseconds(600) } });
  ScriptedServer third({ { "" } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.AddTarget(third);
  mGateway.mConfig.mRoutes[0].mAttempts = 3;
  mGateway.mLoads.Begin("vm-2", mGateway.mClock.Now() - milliseconds(2000));
  Avoid("vm-3", milliseconds(1000));
  mGateway.Start();
  CheckEvents(mGateway, 1);
  CHECK_EQUAL(0U, third.Requests().size());
}

// Guards against a takeover that uses more targets than the route allows, hands
// on more time than is left, or leaves requests in the load of a target.
TEST(Takeover, TakeoverKeepsTheLimitsOfTheRequest)
{
  ScriptedServer first({ { StreamHead() + Event(1) } });
  ScriptedServer second({ { "",
                            false,
                            false,
                            StreamHead() + Event(2) + kEnd,
                            milliseconds(2000) } });
  ScriptedServer third({ { "" } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.AddTarget(third);
  Avoid("vm-3", milliseconds(700));
  mGateway.Start();
  CheckEvents(mGateway, 2);
  CHECK_EQUAL(1U, first.Requests().size());
  CHECK_EQUAL(1U, second.Requests().size());
  CHECK_EQUAL(0U, third.Requests().size());
  const std::string head = second.Requests()[0];
  const size_t at = head.find("Wait: ");
  CHECK(at != std::string::npos);
  CHECK(std::stoi(head.substr(at + 6)) <= 4600);
  for (const char* it : { "vm-1", "vm-2", "vm-3" }) {
    CHECK_EQUAL(0U, mGateway.mLoads.Get(it).mInFlight);
    CHECK_EQUAL(0U, mGateway.mLoads.Get(it).mStreaming);
    CHECK_EQUAL(0U, mGateway.mLoads.Get(it).mWaitingTokens);
  }
}
