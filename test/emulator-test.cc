#include "core/json.h"
#include "emulator/judge.h"
#include "emulator/oddentry.h"
#include "emulator/scenario.h"
#include "emulator/store.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;
using namespace hibiscushold::emulator;

namespace {

constexpr int64_t kAck = 10000;

RequestLine
MakeRequest(Probe aProbe, uint64_t aVersion, Verdict aVerdict, int64_t aSentAt)
{
  RequestLine line;
  line.mId = 7;
  line.mProbe = aProbe;
  line.mVersion = aVersion;
  line.mVerdict = aVerdict;
  line.mSentAt = aSentAt;
  line.mEndedAt = aSentAt + 5;
  line.mNewestWritten = 4;
  return line;
}

/// @return lines in which version N was acknowledged at second N of the run,
///         the last of four at kAck
Lines
MakeLines()
{
  Lines lines;
  lines.mVersions = { { 1, 1000 }, { 2, 2000 }, { 3, 3000 }, { 4, kAck } };
  return lines;
}

Json::Value
Spec(int aNumber)
{
  Json::Value json;
  json["n"] = aNumber;
  return json;
}

} // namespace

TEST_GROUP(EmulatorJudge)
{
  Lines mLines = MakeLines();

  void CheckConfig(size_t aBreaches, const RequestLine& aRequest)
  {
    mLines.mRequests.push_back(aRequest);
    const std::vector<Breach> breaches = JudgeConfig(mLines, {});
    CHECK_EQUAL(aBreaches, breaches.size());
    if (aBreaches > 0) {
      CHECK_EQUAL(aRequest.mId, breaches[0].mRequest.mId);
    }
  }

  /// @param aRule the rule that the request breaks, or null
  void CheckAnswers(const char* aRule, const RequestLine& aRequest)
  {
    mLines.mRequests = { aRequest };
    const std::vector<Breach> breaches = JudgeAnswers(mLines);
    CHECK_EQUAL(aRule == nullptr ? 0U : 1U, breaches.size());
    if (aRule != nullptr) {
      STRCMP_EQUAL(aRule, breaches[0].mRule.c_str());
    }
  }

  void CheckDrain(size_t aBreaches, int64_t aSentAt)
  {
    RequestLine request = MakeRequest(Probe::Moved, 4, Verdict::Open, aSentAt);
    request.mId = static_cast<uint64_t>(aSentAt);
    mLines.mRequests.push_back(request);
    mLines.mArrivals.push_back({ request.mId, "w", aSentAt + 1 });
    CHECK_EQUAL(aBreaches, JudgeDrain(mLines, {}).size());
  }
};

// Guards against a judge that misses an added key that is not accepted in time.
TEST(EmulatorJudge, NamesAKeyThatIsDeniedTooLate)
{
  CheckConfig(0, MakeRequest(Probe::Key, 4, Verdict::Denied, kAck + 1999));
  CheckConfig(1, MakeRequest(Probe::Key, 4, Verdict::Denied, kAck + 2001));
}

// Guards against a judge that misses a route that is served by its old service.
TEST(EmulatorJudge, NamesARouteThatIsServedByItsOldService)
{
  RequestLine request =
    MakeRequest(Probe::Moved, 4, Verdict::Accepted, kAck + 2500);
  request.mService = 4 % kMovedServices;
  CheckConfig(0, request);
  request.mService = 3;
  CheckConfig(1, request);
}

// Guards against a judge that blames a node that is not in touch.
TEST(EmulatorJudge, ExcusesADisturbedNodeFromTheBoundOfAChange)
{
  mLines.mDisturbances.push_back(
    { DisturbanceLine::Kind::Cut, 0, kAck, kAck + 500 });
  CheckConfig(0, MakeRequest(Probe::Key, 4, Verdict::Denied, kAck + 3000));
  CheckConfig(1, MakeRequest(Probe::Key, 4, Verdict::Denied, kAck + 3600));
}

// Guards against a judge that excuses a key that was taken away.
TEST(EmulatorJudge, NamesATakenKeyAlsoAtADisturbedNode)
{
  mLines.mDisturbances.push_back(
    { DisturbanceLine::Kind::Cut, 0, kAck, kAck + 9000 });
  CheckConfig(0, MakeRequest(Probe::Key, 2, Verdict::Accepted, kAck + 4999));
  CheckConfig(1, MakeRequest(Probe::Key, 2, Verdict::Accepted, kAck + 5001));
}

// Guards against a judge that misses a node that goes back to an older version.
TEST(EmulatorJudge, NamesAVersionThatReverts)
{
  mLines.mRequests.push_back(
    MakeRequest(Probe::Key, 4, Verdict::Accepted, kAck + 100));
  CheckConfig(0, MakeRequest(Probe::Key, 4, Verdict::Denied, kAck + 350));
  CheckConfig(1, MakeRequest(Probe::Key, 4, Verdict::Denied, kAck + 400));
}

// Guards against a judge that compares the versions of two lives of a node.
TEST(EmulatorJudge, ForgetsTheVersionsOfANodeThatStartsAgain)
{
  mLines.mRequests.push_back(
    MakeRequest(Probe::Key, 4, Verdict::Accepted, kAck + 100));
  mLines.mDisturbances.push_back(
    { DisturbanceLine::Kind::Start, 0, kAck + 200, kAck + 300 });
  CheckConfig(0, MakeRequest(Probe::Key, 4, Verdict::Denied, kAck + 600));
}

// Guards against a judge that misses requests to a target that has left.
TEST(EmulatorJudge, NamesAnArrivalAtATargetThatLeaves)
{
  mLines.mLeavings.push_back({ "w", kAck });
  CheckDrain(0, kAck + 2000);
  CheckDrain(1, kAck + 2001);
}

// Guards against a judge that excuses a node to which a target has said itself
// that it leaves.
TEST(EmulatorJudge, NamesAnArrivalAfterAnAnnouncementAlsoAtACutNode)
{
  RequestLine announced =
    MakeRequest(Probe::Moved, 4, Verdict::Accepted, kAck - 5);
  announced.mId = 6;
  announced.mLeavingTarget = "w";
  mLines.mRequests.push_back(announced);
  mLines.mDisturbances.push_back(
    { DisturbanceLine::Kind::Cut, 0, kAck, kAck + 9000 });
  CheckDrain(0, kAck + 2000);
  CheckDrain(1, kAck + 2001);
}

// Guards against a judge that takes any success for the right answer.
TEST(EmulatorJudge, NamesASuccessThatIsNotItsOwnWholeAnswer)
{
  RequestLine request = MakeRequest(Probe::Once, 4, Verdict::Accepted, kAck);
  request.mStatus = 200;
  request.mTarget = "w";
  request.mIsOwnAnswer = true;
  mLines.mArrivals.push_back({ request.mId, "w", kAck + 1 });
  CheckAnswers(nullptr, request);
  request.mTarget = "v";
  CheckAnswers("MIXED", request);
  request.mTarget = "w";
  request.mIsOwnAnswer = false;
  CheckAnswers("MIXED", request);
}

// Guards against a judge that takes a stream for complete that ends too early.
TEST(EmulatorJudge, NamesAStreamThatIsCompleteWithoutAllItsEvents)
{
  RequestLine request = MakeRequest(Probe::Stream, 4, Verdict::Accepted, kAck);
  request.mStatus = 200;
  request.mTarget = "w";
  request.mIsOwnAnswer = true;
  mLines.mArrivals.push_back({ request.mId, "w", kAck + 1 });
  CheckAnswers(nullptr, request);
  request.mIsOwnAnswer = false;
  CheckAnswers("ORDER", request);
  request.mVerdict = Verdict::Open;
  CheckAnswers(nullptr, request);
}

// Guards against a judge that takes bytes that are no answer for a failure.
TEST(EmulatorJudge, NamesBytesThatAreNoAnswer)
{
  RequestLine request = MakeRequest(Probe::Moved, 4, Verdict::Open, kAck);
  CheckAnswers(nullptr, request);
  request.mIsNoAnswer = true;
  CheckAnswers("MIXED", request);
}

// Guards against a judge that overlooks a request that no caller has sent.
TEST(EmulatorJudge, NamesARequestThatNoCallerHasSent)
{
  RequestLine request = MakeRequest(Probe::Once, 4, Verdict::Accepted, kAck);
  request.mDigest = 5;
  mLines.mRequests = { request };
  const auto rulesOf = [this](const ArrivalLine& aArrival) {
    mLines.mArrivals = { aArrival };
    std::string rules;
    for (const Breach& it : JudgeRequests(mLines)) {
      rules += it.mRule;
    }
    return rules;
  };
  STRCMP_EQUAL("", rulesOf({ 7, "t", kAck, "", false, 5 }).c_str());
  STRCMP_EQUAL("UNASKED", rulesOf({ 7, "t", kAck, "", false, 6 }).c_str());
  STRCMP_EQUAL("UNASKED", rulesOf({ 8, "t", kAck, "", false, 5 }).c_str());
  mLines.mRequests[0].mIsMalformed = true;
  STRCMP_EQUAL("UNASKED", rulesOf({ 7, "t", kAck, "", false, 5 }).c_str());
  mLines.mRequests[0].mStatus = 400;
  mLines.mArrivals.clear();
  CHECK(JudgeRequests(mLines).empty());
  mLines.mRequests[0].mIsMalformed = false;
  STRCMP_EQUAL("DENIED", JudgeRequests(mLines)[0].mRule.c_str());
}

// Guards against a judge that misses a request which runs twice, or which runs
// although its answer says that it didn't.
TEST(EmulatorJudge, NamesARequestThatRunsTooOften)
{
  RequestLine request = MakeRequest(Probe::Once, 4, Verdict::Open, kAck);
  request.mStatus = 503;
  CheckAnswers(nullptr, request);
  mLines.mArrivals.push_back({ request.mId, "w", kAck + 1 });
  CheckAnswers("REFUSED", request);
  request.mStatus = 502;
  CheckAnswers(nullptr, request);
  mLines.mArrivals.push_back({ request.mId, "v", kAck + 2 });
  CheckAnswers("TWICE", request);
}

// Guards against a judge that misses a request without an answer at a node that
// stops as planned, or blames a node that was killed.
TEST(EmulatorJudge, NamesARequestThatAStopCuts)
{
  const RequestLine request = MakeRequest(Probe::Moved, 4, Verdict::Open, kAck);
  mLines.mArrivals.push_back({ request.mId, "w", kAck + 1 });
  mLines.mDisturbances.push_back(
    { DisturbanceLine::Kind::Stop, 0, kAck - 100, kAck + 100 });
  CheckAnswers("LOST", request);
  mLines.mDisturbances.push_back(
    { DisturbanceLine::Kind::Start, 0, kAck, kAck + 100 });
  CheckAnswers(nullptr, request);
}

// Guards against a judge that misses repeats of a request that has ended three
// targets, or counts those that a node may still send.
TEST(EmulatorJudge, NamesTheFourthLateRepeatOfACrashingRequest)
{
  for (int n = 0; n < 10; ++n) {
    const int64_t at = n < 3 ? kAck + n : kAck + 3000 + n;
    RequestLine request = MakeRequest(Probe::Crash, 4, Verdict::Open, at);
    request.mId = static_cast<uint64_t>(at);
    mLines.mRequests.push_back(request);
    mLines.mArrivals.push_back({ request.mId, "w" + std::to_string(n), at });
    CHECK_EQUAL(n >= 6, !JudgeBudget(mLines, {}).empty());
  }
  CHECK_EQUAL(kAck + 3006, JudgeBudget(mLines, {})[0].mRequest.mSentAt);
}

TEST_GROUP(EmulatorStore)
{
  Timeline mTimeline;
  Store mStore{ mTimeline, 3, 100 };
};

// Guards against a store that loses nothing when it returns, or too much.
TEST(EmulatorStore, ReturnsFromACopyAndUsesItsRevisionsAgain)
{
  mStore.Put("k", "a", Spec(1), std::nullopt);
  const int64_t copy = mTimeline.Now();
  while (mTimeline.Now() <= copy) {
  }
  mStore.Put("k", "a", Spec(2), std::nullopt);
  mStore.Put("k", "b", Spec(1), std::nullopt);
  mStore.ReturnTo(copy);
  const ReadResult read = mStore.Read("k", "");
  CHECK_EQUAL(4U, read.mEra);
  CHECK_EQUAL(101U, read.mRevision);
  CHECK_EQUAL(1U, read.mObjects.size());
  CHECK_EQUAL(1, read.mObjects[0].mSpec["n"].asInt());
  CHECK(mStore.Watch("k", 103, 0).mHistoryGone);
  CHECK_EQUAL(102U,
              mStore.Put("k", "a", Spec(3), std::nullopt).mObject.mRevision);
}

// Guards against writes that ignore their condition, or count as changes
// although they change nothing.
TEST(EmulatorStore, ChecksConditionsAndCountsChangesOnly)
{
  CHECK_EQUAL(101U, mStore.Create("k", "a", Spec(1)).mObject.mRevision);
  CHECK(WriteResult::Status::Conflict ==
        mStore.Create("k", "a", Spec(2)).mStatus);
  CHECK(WriteResult::Status::Conflict ==
        mStore.Put("k", "a", Spec(2), 100).mStatus);
  CHECK_EQUAL(101U, mStore.Put("k", "a", Spec(1), 101).mObject.mRevision);
  CHECK(WriteResult::Status::Missing == mStore.Delete("k", "b", 101).mStatus);
  CHECK(WriteResult::Status::Done == mStore.Delete("k", "a", 101).mStatus);
  CHECK_EQUAL(1U, mStore.Watch("k", 101, 0).mChanges.size());
  mStore.ForgetHistory();
  CHECK(mStore.Watch("k", 101, 0).mHistoryGone);
}

// Guards against a process that ends by itself and counts as a planned restart.
TEST(EmulatorJudge, CountsProcessesThatEndByThemselves)
{
  CHECK(JudgeEnds(mLines).empty());
  mLines.mDisturbances = { { DisturbanceLine::Kind::Start, 1, 0, 100 } };
  CHECK(JudgeEnds(mLines).empty());
  mLines.mEnds = { { 2, "signal 6", kAck } };
  const std::vector<Breach> breaches = JudgeEnds(mLines);
  CHECK_EQUAL(1U, breaches.size());
  STRCMP_EQUAL("FAULT", breaches[0].mRule.c_str());
  CHECK_EQUAL(2U, breaches[0].mRequest.mNode);
  CHECK_EQUAL(kAck, breaches[0].mRequest.mSentAt);
}

TEST_GROUP(EmulatorOddEntry){};

// Guards against odd entries that are sound, so that nothing is tested.
TEST(EmulatorOddEntry, EachFieldTakesEachValue)
{
  const Json::Value sound = MakeOddEntry("", Json::Value());
  for (const std::string_view field : OddFields()) {
    for (const std::string_view text : OddValues()) {
      const Result<Json::Value> value = ParseJson(text);
      CHECK(value.has_value());
      const Json::Value entry = MakeOddEntry(field, value.value());
      CHECK(entry != sound);
      if (field == "port") {
        STRCMP_EQUAL(("127.0.0.1:" + ToJson(value.value())).c_str(),
                     entry["addr"].asCString());
        continue;
      }
      STRCMP_CONTAINS(ToJson(value.value()).c_str(), ToJson(entry).c_str());
    }
  }
}

TEST_GROUP(EmulatorScenario){};

// Guards against a scenario file of which only the first fault is reported, or
// none.
TEST(EmulatorScenario, ReportsAllFaultsOfAFile)
{
  std::vector<LineError> errors;
  ParseScenario("[run]\n"
                "seeds = 3\n"
                "[faults]\n"
                "a = kind:store-retrun at_ms:x\n"
                "b = kind:node-kill node:9\n",
                errors);
  CHECK_EQUAL(4U, errors.size());
  CHECK_EQUAL(2, errors[0].mLine);
  STRCMP_CONTAINS("run.seed", errors[0].mFailure.mRemedy.c_str());
  CHECK_EQUAL(4, errors[1].mLine);
  CHECK_EQUAL(4, errors[2].mLine);
  STRCMP_CONTAINS("node 9", errors[3].mFailure.mDetail.c_str());
}

// Guards against faults that can't be played again from their seed.
TEST(EmulatorScenario, DrawsTheSameFaultsForTheSameSeed)
{
  Scenario scenario;
  const std::vector<Fault> first = DrawFaults(scenario);
  const std::vector<Fault> again = DrawFaults(scenario);
  CHECK(!first.empty());
  CHECK_EQUAL(first.size(), again.size());
  for (size_t i = 0; i < first.size(); ++i) {
    CHECK(first[i].mKind == again[i].mKind && first[i].mAt == again[i].mAt);
  }
  scenario.mSeed = 2;
  const std::vector<Fault> other = DrawFaults(scenario);
  CHECK(other.size() != first.size() || other[1].mAt != first[1].mAt);
}

// Guards against an odd entry of a scenario that is read as another one.
TEST(EmulatorScenario, ReadsAnOddEntry)
{
  std::vector<LineError> errors;
  const Scenario scenario =
    ParseScenario("[sizes]\n"
                  "address_space_mb = 260\n"
                  "callers_per_node = 12\n"
                  "[faults]\n"
                  "a = kind:odd-entry at_ms:8000 field:rank value:4294967295\n",
                  errors);
  CHECK(errors.empty());
  CHECK_EQUAL(260U, scenario.mAddressSpaceMb);
  CHECK_EQUAL(12U, scenario.mCallersPerNode);
  CHECK(FaultKind::OddEntry == scenario.mFaults[0].mKind);
  STRCMP_EQUAL("rank", scenario.mFaults[0].mField.c_str());
  STRCMP_EQUAL("4294967295", scenario.mFaults[0].mValue.c_str());
}
