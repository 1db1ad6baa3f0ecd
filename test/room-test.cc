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

RoomAction
Decide(const RequestTerms& aTerms, const RoomState& aState)
{
  return DecideRoom(aTerms, aState, kNow, 0.5).mAction;
}

/// @return the part of equal requests that are refused
double
PartRefused(const RequestTerms& aTerms, const RoomState& aState)
{
  constexpr int kDraws = 1000;
  int refused = 0;
  for (int n = 0; n < kDraws; ++n) {
    const double fraction = static_cast<double>(n) / kDraws;
    refused +=
      DecideRoom(aTerms, aState, kNow, fraction).mAction == RoomAction::Refuse
        ? 1
        : 0;
  }
  return static_cast<double>(refused) / kDraws;
}

} // namespace

TEST_GROUP(Room){};

// Burst: what would be late waits behind what is on time.
TEST(Room, BurstIsDelayedByTheExpectedWait)
{
  const RequestTerms terms = MakeTerms();
  CHECK(Decide(terms, { 0, 0, {}, false }) == RoomAction::Send);
  CHECK(Decide(terms, { 200, 900, {}, false }) == RoomAction::Send);
  CHECK(Decide(terms, { 250, 900, {}, false }) == RoomAction::Delay);
  // Nobody is refused who can be served while the caller waits.
  DOUBLES_EQUAL(0, PartRefused(terms, { 500, 2000, {}, false }), 0);
}

// Burst: as the wait grows beyond the callers' patience, more requests are
// refused, but never all: only those that are sent show when the queue has
// drained.
TEST(Room, BurstIsRefusedByTheCallersPatience)
{
  const RequestTerms terms = MakeTerms();
  const double some = PartRefused(terms, { 900, 2500, {}, false });
  const double more = PartRefused(terms, { 900, 5000, {}, false });
  CHECK(some > 0 && more > some);
  CHECK(PartRefused(terms, { 900, 100000, {}, false }) < 1);
  // What is on time is sent, however much delayed work waits behind it.
  DOUBLES_EQUAL(0, PartRefused(terms, { 150, 100000, {}, false }), 0);
}

// The load: urgent answers beside patient batch work with four times their
// latency target. The batch work leaves the queue short enough for the answers.
TEST(Room, PatientWorkLeavesRoomForUrgentAnswers)
{
  const RequestTerms urgent = MakeTerms();
  const RequestTerms patient = MakeTerms(4 * kTarget, kPatient);
  CHECK(Decide(urgent, { 180, 180, {}, false }) == RoomAction::Send);
  CHECK(Decide(patient, { 180, 180, kTarget, false }) == RoomAction::Delay);
  // Alone, it may use its whole latency target.
  CHECK(Decide(patient, { 720, 720, {}, false }) == RoomAction::Send);
}

// The load: one account at nine times its usual.
TEST(Room, AccountAboveItsShareIsDelayedFirst)
{
  const RequestTerms terms = MakeTerms();
  CHECK(Decide(terms, { 160, 160, {}, false }) == RoomAction::Send);
  CHECK(Decide(terms, { 160, 160, {}, true }) == RoomAction::Delay);
  // While there is room for all, no account is delayed.
  CHECK(Decide(terms, { 100, 100, {}, true }) == RoomAction::Send);
}

// The load: callers that repeat at once and often. A repeat has less time left
// until its latency target, and goes behind the others.
TEST(Room, RepeatsGainNothing)
{
  RequestTerms terms = MakeTerms();
  CHECK(Decide(terms, { 180, 900, {}, false }) == RoomAction::Send);
  terms.mFirstSentAt = kNow - milliseconds(40);
  terms.mOnTimeUntil = terms.mFirstSentAt + kTarget;
  CHECK(Decide(terms, { 180, 900, {}, false }) == RoomAction::Delay);
}

TEST(Room, ReturnsAreSpreadAndUrgentCallersReturnFirst)
{
  milliseconds first = milliseconds::max();
  milliseconds last{ 0 };
  for (const double it : { 0.0, 0.1, 0.2, 0.3 }) {
    const RoomDecision urgent =
      DecideRoom(MakeTerms(), { 900, 4000, {}, false }, kNow, it);
    const RoomDecision patient = DecideRoom(
      MakeTerms(kTarget, kPatient), { 900, 4000, kTarget, false }, kNow, it);
    CHECK(urgent.mAction == RoomAction::Refuse);
    CHECK(patient.mRetryAfter >= urgent.mRetryAfter);
    first = std::min(first, urgent.mRetryAfter);
    last = std::max(last, urgent.mRetryAfter);
  }
  CHECK(last - first > milliseconds(500));
  CHECK(first >= milliseconds(400));
}

TEST(Room, NobodyIsAskedToWaitLongerThanCallersAreReadyTo)
{
  RequestTerms terms = MakeTerms();
  terms.mGivesUpAt = kNow + milliseconds(500);
  terms.mDeadline = kNow + milliseconds(900);
  for (const double it : { 0.0, 0.3, 0.6 }) {
    const RoomDecision decision =
      DecideRoom(terms, { 5000, 5000, {}, false }, kNow, it);
    CHECK(decision.mAction == RoomAction::Refuse);
    CHECK(decision.mRetryAfter <= milliseconds(300));
    CHECK(decision.mRetryAfter > milliseconds(0));
  }
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

TEST(DemandRecord, LeastFirstEventFollowsWhatTheForecastDoesNotExplain)
{
  DOUBLES_EQUAL(0, mRecord.LeastFirstEvent("m"), 0);
  for (int n = 0; n < 40; ++n) {
    mRecord.RecordFirstEvent("m", 180, 50);
    mRecord.RecordFirstEvent("m", 900, 850); // the load explains it
  }
  DOUBLES_EQUAL(180, mRecord.LeastFirstEvent("m"), 1);
  mRecord.RecordFirstEvent("m", 1e9, 50); // one stall
  CHECK(mRecord.LeastFirstEvent("m") < 200);
  mRecord.RecordFirstEvent("m", -1e9, 50);
  CHECK(mRecord.LeastFirstEvent("m") > 150);
}
