#include "cluster/registration.h"
#include "config/acceptance.h"
#include "fakeplatform.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };
constexpr auto kStageTimeout = milliseconds(1500);
constexpr auto kMaxHeadAge = seconds(5);
constexpr int kNoAck = -1;
constexpr int kCannotApply = -2;

struct Row
{
  const char* mName;
  /// milliseconds after the start, kNoAck or kCannotApply
  std::vector<int> mAcks;
  int mNow; ///< milliseconds after the start
  Acceptance mVerdict;
  int mWaitUntil;
};

AcceptanceState
StateOf(const Row& aRow)
{
  AcceptanceState state;
  state.mProposedAt = kStart;
  state.mStageDeadline = kStart + kStageTimeout;
  state.mMaxHeadAge = kMaxHeadAge;
  for (int it : aRow.mAcks) {
    MemberAck ack{ "m" + std::to_string(state.mAcks.size()), {}, false, "x" };
    ack.mRefused = it == kCannotApply;
    if (it >= 0) {
      ack.mAckedAt = kStart + milliseconds(it);
    }
    state.mAcks.push_back(ack);
  }
  return state;
}

} // namespace

TEST_GROUP(Acceptance){};

TEST(Acceptance, WaitsUntilTheOldHeadExpiresOnMembersWithoutAnAck)
{
  const std::array rows = {
    Row{ "all acked", { 10, 20, 30 }, 31, Acceptance::Accept, 0 },
    Row{ "early", { 10, kNoAck, 30 }, 40, Acceptance::Wait, 1500 },
    Row{
      "one without an ack", { 10, kNoAck, 30 }, 1500, Acceptance::Wait, 5030 },
    Row{
      "just before expiry", { 10, kNoAck, 30 }, 5029, Acceptance::Wait, 5030 },
    Row{ "expired", { 10, kNoAck, 30 }, 5030, Acceptance::Accept, 0 },
    Row{ "a late ack", { 10, kNoAck, 900 }, 5030, Acceptance::Wait, 5900 },
    Row{ "two without an ack",
         { 10, kNoAck, kNoAck },
         9000,
         Acceptance::Refuse,
         0 },
    Row{ "cannot apply", { 10, kCannotApply, 30 }, 40, Acceptance::Refuse, 0 },
    Row{ "alone without an ack", { kNoAck }, 4999, Acceptance::Wait, 5000 },
  };
  for (const Row& it : rows) {
    const AcceptanceDecision decision =
      DecideAcceptance(StateOf(it), kStart + milliseconds(it.mNow));
    CHECK_TRUE_TEXT(decision.mVerdict == it.mVerdict, it.mName);
    if (it.mVerdict == Acceptance::Wait) {
      CHECK_TRUE_TEXT(
        decision.mWaitUntil == kStart + milliseconds(it.mWaitUntil), it.mName);
    }
  }
}

TEST(Acceptance, ListsTheMembersWithoutAnAck)
{
  const Row row{ "", { 10, kNoAck, kNoAck }, 0, Acceptance::Refuse, 0 };
  STRCMP_EQUAL(" 'm1' (x) 'm2' (x)",
               DescribeMissingAcks(StateOf(row).mAcks).c_str());
}

TEST(Acceptance, ClearsAnUnfinishedChangeAfterATimeout)
{
  CHECK_FALSE(ShouldClearPending(milliseconds(9999), true, kMaxHeadAge));
  CHECK_TRUE(ShouldClearPending(seconds(10), true, kMaxHeadAge));
  CHECK_FALSE(ShouldClearPending(milliseconds(19999), false, kMaxHeadAge));
  CHECK_TRUE(ShouldClearPending(seconds(20), false, kMaxHeadAge));
}

TEST(Acceptance, RemovesOnlyARegisteredMember)
{
  FakePlatform platform;
  const Member member{ "m1", "i", "z", { "h", 1 }, { "h", 2 } };
  CHECK_TRUE(RegisterMember(platform, member).has_value());
  CHECK_TRUE(RemoveMember(platform, "m1").has_value());
  CHECK(Error::MemberUnknown == RemoveMember(platform, "m1").error().mError);
}
