#include "admission/demandrecord.h"
#include "admission/room.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace hibiscushold;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(1) };
constexpr Urgency kUrgent{ 1, 0 };
constexpr Urgency kPatient{ 1, 2 };
constexpr auto kTarget = milliseconds(200);
constexpr auto kDeadline = seconds(8);

/// Terms of a request that arrives now for the first time.
RequestTerms
MakeTerms(milliseconds aTarget = kTarget, Urgency aUrgency = kUrgent)
{
  return { aUrgency,         kNow + aTarget, kNow + seconds(2),
           kNow + kDeadline, kNow,           kNow };
}

/// @return the part of equal requests that are not sent
double
PartNotSent(const RequestTerms& aTerms, const RoomState& aState)
{
  constexpr int kDraws = 1000;
  int deferred = 0;
  for (int n = 0; n < kDraws; ++n) {
    const RoomDecision decision =
      DecideRoom(aTerms, aState, kNow, static_cast<double>(n) / kDraws);
    deferred += decision.mAction == RoomAction::Send ? 0 : 1;
  }
  return static_cast<double>(deferred) / kDraws;
}

} // namespace

TEST_GROUP(Room){};

// Burst: as the wait grows beyond the latency target, more requests are
// deferred, but never all: only those that are sent show when the queue has
// drained.
TEST(Room, BurstIsDeferredByTheExpectedWait)
{
  const RequestTerms terms = MakeTerms();
  DOUBLES_EQUAL(0, PartNotSent(terms, { 0, {}, false }), 0);
  DOUBLES_EQUAL(0, PartNotSent(terms, { 150, {}, false }), 0);
  DOUBLES_EQUAL(0, PartNotSent(terms, { 200, {}, false }), 0);
  const double some = PartNotSent(terms, { 250, {}, false });
  const double more = PartNotSent(terms, { 500, {}, false });
  CHECK(some > 0 && more > some);
  CHECK(PartNotSent(terms, { 1900, {}, false }) < 1);
}

// The load: urgent answers beside patient batch work with four times their
// latency target. The batch work leaves the queue short enough for the answers.
TEST(Room, PatientWorkLeavesRoomForUrgentAnswers)
{
  const RequestTerms urgent = MakeTerms();
  const RequestTerms patient = MakeTerms(4 * kTarget, kPatient);
  const double wait = 180;
  DOUBLES_EQUAL(0, PartNotSent(urgent, { wait, {}, false }), 0);
  CHECK(PartNotSent(patient, { wait, kTarget, false }) > 0);
  // Alone, it may use its whole latency target.
  DOUBLES_EQUAL(0, PartNotSent(patient, { 4 * wait, {}, false }), 0);
  for (const double it : { 100.0, 180.0, 300.0, 900.0, 1900.0 }) {
    CHECK(PartNotSent(patient, { it, kTarget, false }) >=
          PartNotSent(urgent, { it, {}, false }));
  }
}

// The load: one account at nine times its usual.
TEST(Room, AccountAboveItsShareIsCutFirst)
{
  const RequestTerms terms = MakeTerms();
  for (const double it : { 160.0, 250.0, 600.0 }) {
    CHECK(PartNotSent(terms, { it, {}, true }) >
          PartNotSent(terms, { it, {}, false }));
  }
  // While there is room for all, no account is cut.
  DOUBLES_EQUAL(0, PartNotSent(terms, { 100, {}, true }), 0);
}

TEST(Room, CallerThatCameBackAsAskedIsServed)
{
  RequestTerms terms = MakeTerms();
  terms.mFirstSentAt = kNow - milliseconds(900);
  terms.mOnTimeUntil = terms.mFirstSentAt + kTarget;
  DOUBLES_EQUAL(0, PartNotSent(terms, { 1500, {}, false }), 0);
  DOUBLES_EQUAL(0, PartNotSent(terms, { 1500, kTarget, true }), 0);
}

// The load: callers that repeat at once and often.
TEST(Room, CallerThatRepeatsAtOnceGainsNothing)
{
  RequestTerms terms = MakeTerms();
  terms.mFirstSentAt = kNow - milliseconds(40);
  terms.mOnTimeUntil = terms.mFirstSentAt + kTarget;
  CHECK(PartNotSent(terms, { 1500, {}, false }) >=
        PartNotSent(MakeTerms(), { 1500, {}, false }));
}

// What can't be served before its caller gives up is refused at once, also if
// it has come back.
TEST(Room, HopelessRequestsAreRefusedAtOnce)
{
  RequestTerms terms = MakeTerms();
  terms.mFirstSentAt = kNow - seconds(2);
  terms.mOnTimeUntil = terms.mFirstSentAt + kTarget;
  const RoomDecision decision =
    DecideRoom(terms, { 2500, {}, false }, kNow, 0.99);
  CHECK(decision.mAction == RoomAction::Refuse);
  CHECK(decision.mRetryAfter > milliseconds(0));
}

TEST(Room, ReturnsAreSpreadAndUrgentCallersReturnFirst)
{
  milliseconds first = milliseconds::max();
  milliseconds last{ 0 };
  for (const double it : { 0.0, 0.2, 0.4, 0.6 }) {
    const RoomDecision urgent =
      DecideRoom(MakeTerms(), { 1000, {}, false }, kNow, it);
    const RoomDecision patient = DecideRoom(
      MakeTerms(kTarget, kPatient), { 1000, kTarget, false }, kNow, it);
    CHECK(urgent.mAction == RoomAction::Defer);
    CHECK(patient.mRetryAfter > urgent.mRetryAfter);
    first = std::min(first, urgent.mRetryAfter);
    last = std::max(last, urgent.mRetryAfter);
  }
  CHECK(last - first > milliseconds(500));
  CHECK(first >= milliseconds(1000)); // the queue has drained then
}

TEST(Room, NobodyIsAskedToWaitLongerThanCallersAreReadyTo)
{
  RequestTerms terms = MakeTerms();
  terms.mDeadline = kNow + milliseconds(900);
  for (const double it : { 0.0, 0.3, 0.6 }) {
    const RoomDecision decision =
      DecideRoom(terms, { 5000, {}, false }, kNow, it);
    CHECK(decision.mRetryAfter <= milliseconds(300));
  }
  const RoomDecision soon =
    DecideRoom(MakeTerms(), { 250, {}, false }, kNow, 0);
  CHECK(soon.mRetryAfter >= milliseconds(400));
}

TEST_GROUP(DemandRecord)
{
  DemandRecord mRecord;
  TimePoint mNow = kNow;

  /// Adds requests of accounts over a time, in turns.
  /// @param aCounts requests of each account in a turn of 100 ms
  void Run(Duration aTime, const std::map<std::string, int>& aCounts)
  {
    const TimePoint end = mNow + aTime;
    for (; mNow < end; mNow += milliseconds(100)) {
      for (const auto& [account, n] : aCounts) {
        for (int i = 0; i < n; ++i) {
          mRecord.Add("m", account, kUrgent, kTarget, 1000, mNow);
        }
      }
    }
  }

  bool IsAbove(const char* aAccount) const
  {
    return mRecord.IsAboveShare("m", aAccount, mNow);
  }
};

// The load: one account sends nine times its usual. Large accounts that send
// what they always do are not above their share.
TEST(DemandRecord, AccountAtNineTimesItsUsualIsAboveItsShare)
{
  std::map<std::string, int> counts{ { "large", 4 } };
  for (const char* it : { "b", "c", "d", "e", "f", "g", "h", "i" }) {
    counts[it] = 1;
  }
  Run(seconds(20), counts);
  for (const char* it : { "large", "b", "c", "d" }) {
    CHECK_TEXT(!IsAbove(it), it);
  }
  counts["b"] = 9;
  Run(seconds(2), counts);
  CHECK(IsAbove("b"));
  for (const char* it : { "large", "c", "d" }) {
    CHECK_TEXT(!IsAbove(it), it);
  }
}

TEST(DemandRecord, NobodyIsAboveAShareOfLittleWork)
{
  mRecord.Add("m", "a", kUrgent, kTarget, 1000, mNow);
  CHECK(!IsAbove("a"));
  CHECK(!IsAbove("unknown"));
  CHECK(!mRecord.IsAboveShare("other", "a", mNow));
}

TEST(DemandRecord, KnowsTheMoreUrgentRequestsOfTheLastSeconds)
{
  mRecord.Add("m", "a", { 1, 1 }, milliseconds(500), 1000, mNow);
  mRecord.Add("m", "a", { 0, 1 }, milliseconds(300), 1000, mNow);
  mRecord.Add("n", "a", { 0, 0 }, milliseconds(100), 1000, mNow);
  CHECK(mRecord.ShortestTargetAbove("m", { 1, 2 }, mNow) == milliseconds(300));
  CHECK(mRecord.ShortestTargetAbove("m", { 1, 0 }, mNow) == milliseconds(300));
  CHECK(!mRecord.ShortestTargetAbove("m", { 0, 1 }, mNow));
  CHECK(!mRecord.ShortestTargetAbove("m", { 1, 2 }, mNow + seconds(5)));
}

TEST(DemandRecord, OverheadFollowsMeasurementsWithinBounds)
{
  DOUBLES_EQUAL(0, mRecord.OverheadOf("m"), 0);
  for (int n = 0; n < 40; ++n) {
    mRecord.RecordOverhead("m", 120);
  }
  DOUBLES_EQUAL(120, mRecord.OverheadOf("m"), 1);
  mRecord.RecordOverhead("m", 1e9); // one stall
  CHECK(mRecord.OverheadOf("m") < 140);
  mRecord.RecordOverhead("m", -1e9);
  CHECK(mRecord.OverheadOf("m") > 100);
}
