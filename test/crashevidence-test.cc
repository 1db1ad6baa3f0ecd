#include "fleet/quarantine.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace hibiscushold;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };
constexpr auto kApart = milliseconds(200);

constexpr TraitId kBad = 7;
constexpr TraitId kFirst = 1;
constexpr TraitId kOther = 99; ///< content of another request

} // namespace

TEST_GROUP(CrashEvidence)
{
  Quarantine mNode;
  TimePoint mNow = kStart;
  uint64_t mTarget = 0;
  TraitId mContent = 1000;

  /// Ends another target, with a request that has these parts at it.
  void EndTarget(std::vector<TraitId> aParts)
  {
    mNow += kApart;
    mNode.RecordCrash({ ++mContent, std::move(aParts) }, ++mTarget, {}, mNow);
  }

  void EndTargets(int aCount, const std::vector<TraitId>& aParts)
  {
    for (int n = 0; n < aCount; ++n) {
      EndTarget(aParts);
    }
  }

  void Answer(std::vector<TraitId> aParts)
  {
    mNow += milliseconds(10);
    mNode.RecordAnswer({ ++mContent, std::move(aParts) }, mNow, mNow);
  }

  bool IsQuarantined(const Quarantine& aNode, std::vector<TraitId> aParts) const
  {
    return aNode.EndOfQuarantine({ kOther, std::move(aParts) }).has_value();
  }

  bool IsQuarantined(std::vector<TraitId> aParts) const
  {
    return IsQuarantined(mNode, std::move(aParts));
  }
};

TEST(CrashEvidence, PartIsQuarantinedAfterThreeEnds)
{
  EndTargets(2, { kFirst, kBad });
  CHECK(!IsQuarantined({ kBad }));
  EndTarget({ kFirst, kBad });
  CHECK(IsQuarantined({ 2, kBad }));
}

// Guards against sound requests that are refused for a part that they share
// with those that crash targets.
TEST(CrashEvidence, SharedPartsThatWereAnsweredStaySound)
{
  Answer({ kFirst, 2 });
  EndTargets(3, { kFirst, kBad });
  CHECK(IsQuarantined({ kFirst, kBad }));
  CHECK(!IsQuarantined({ kFirst, 2 }));
}

// Guards against a sound part that stays quarantined because no node had seen
// an answer with it before.
TEST(CrashEvidence, AnswerEndsTheQuarantineOfAPart)
{
  EndTargets(3, { kFirst });
  CHECK(IsQuarantined({ kFirst }));
  Answer({ kFirst });
  CHECK(!IsQuarantined({ kFirst }));
}

// Guards against requests that are blamed for the end of a target which another
// request at it has caused.
TEST(CrashEvidence, RequestsBesideTheCulpritAreNotBlamed)
{
  for (int n = 0; n < 3; ++n) {
    EndTarget({ kFirst, kBad });
    mNode.RecordCrash({ ++mContent, { kFirst, 5 } }, mTarget, {}, mNow);
  }
  CHECK(IsQuarantined({ kBad }));
  CHECK(!IsQuarantined({ 5 }));
  CHECK(!IsQuarantined({ kFirst }));
  EndTarget({ 5 });
  CHECK(!IsQuarantined({ 5 }));
}

// Guards against a second culprit that hides behind the first one.
TEST(CrashEvidence, TwoCulpritsAreFound)
{
  Answer({ kFirst });
  EndTargets(3, { kFirst, kBad });
  EndTargets(3, { kFirst, 8 });
  CHECK(IsQuarantined({ kBad }));
  CHECK(IsQuarantined({ 8 }));
  CHECK(!IsQuarantined({ 9 }));
}

// Guards against blame for targets that are lost together, such as a zone's.
TEST(CrashEvidence, TargetsThatEndTogetherCountOnce)
{
  for (int n = 0; n < 20; ++n) {
    mNode.RecordCrash(
      { ++mContent, { kFirst } }, ++mTarget, {}, mNow + milliseconds(n * 4));
  }
  CHECK(!IsQuarantined({ kFirst }));
}

// Guards against blame for connections that are reset while their targets go
// on.
TEST(CrashEvidence, TargetsThatAnswerAgainHaveNotEnded)
{
  EndTargets(2, { kFirst });
  mNode.RecordAlive(1, mNow + milliseconds(50), mNow + milliseconds(60));
  EndTarget({ kFirst });
  CHECK(!IsQuarantined({ kFirst }));
}

// Guards against a part that is blamed for one request that is sent again and
// again.
TEST(CrashEvidence, OneRequestIsQuarantinedWithoutItsParts)
{
  for (int n = 0; n < 3; ++n) {
    mNow += kApart;
    mNode.RecordCrash({ 55, { kFirst, kBad } }, ++mTarget, {}, mNow);
  }
  CHECK(mNode.EndOfQuarantine({ 55, {} }).has_value());
  CHECK(!IsQuarantined({ kFirst, kBad }));
}

// Guards against other queries of a resource that are refused because of one
// request that is sent again and again.
TEST(CrashEvidence, OneRequestIsQuarantinedWithoutItsResource)
{
  for (int n = 0; n < 3; ++n) {
    mNow += kApart;
    mNode.RecordCrash({ 55, {}, kBad }, ++mTarget, {}, mNow);
  }
  CHECK(mNode.EndOfQuarantine({ 55, {}, kBad }).has_value());
  CHECK(!mNode.EndOfQuarantine({ 56, {}, kBad }).has_value());
}

// Guards against a resource that is refused although other requests for it are
// answered, as targets end for another reason.
TEST(CrashEvidence, AnswersForAResourceClearIt)
{
  for (int n = 0; n < 6; ++n) {
    mNow += kApart;
    mNode.RecordCrash({ ++mContent, {}, kBad }, ++mTarget, {}, mNow);
    if (n % 2 == 1) {
      mNow += kApart;
      mNode.RecordAnswer({ ++mContent, {}, kBad }, mNow, mNow);
    }
  }
  CHECK(!mNode.EndOfQuarantine({ ++mContent, {}, kBad }).has_value());
}

// Guards against requests for the same resource that are refused because of a
// part of their prompts that ends targets.
TEST(CrashEvidence, PartIsBlamedBeforeTheResource)
{
  for (int n = 0; n < 3; ++n) {
    mNow += kApart;
    mNode.RecordCrash({ ++mContent, { kBad }, kFirst }, ++mTarget, {}, mNow);
  }
  CHECK(mNode.EndOfQuarantine({ kOther, { kBad }, kFirst }).has_value());
  CHECK(!mNode.EndOfQuarantine({ kOther, {}, kFirst }).has_value());
}

// Guards against a part that is never found, because each of the requests that
// have it is quarantined by itself.
TEST(CrashEvidence, PartIsFoundBehindRepeatedRequests)
{
  for (const TraitId content : { 51, 52, 53 }) {
    for (int n = 0; n < 3; ++n) {
      mNow += kApart;
      mNode.RecordCrash({ content, { kFirst, kBad } }, ++mTarget, {}, mNow);
    }
  }
  CHECK(IsQuarantined({ kBad }));
}

// Guards against a part that ends target after target because it was sound
// before.
TEST(CrashEvidence, PartThatTurnsBadIsQuarantinedAfterFiveEnds)
{
  Answer({ kBad });
  EndTargets(4, { kBad });
  CHECK(!IsQuarantined({ kBad }));
  EndTarget({ kBad });
  CHECK(!IsQuarantined({ kBad }));
  mNode.Refresh(mNow + kTimeToRefute);
  CHECK(IsQuarantined({ kBad }));
}

// Guards against a part that stays trusted for an answer that began before it
// turned bad.
TEST(CrashEvidence, AnswerThatBeganBeforeACrashDoesNotRefuteIt)
{
  const TimePoint before = mNow;
  EndTargets(3, { kBad });
  mNode.RecordAnswer({ ++mContent, { kBad } }, before, mNow);
  CHECK(IsQuarantined({ kBad }));
}

// Guards against nodes that each trust a part for the answers that they saw,
// so that each of them loses several targets before it changes its mind.
TEST(CrashEvidence, NodesFindAPartThatTurnsBadTogether)
{
  Quarantine nodes[5];
  for (Quarantine& it : nodes) {
    it.RecordAnswer({ ++mContent, { kFirst, kBad } }, mNow, mNow);
  }
  for (Quarantine& it : nodes) {
    mNow += kApart;
    it.RecordCrash({ ++mContent, { kFirst, kBad } }, ++mTarget, {}, mNow);
    mNow += milliseconds(10);
    it.RecordAnswer({ ++mContent, { kFirst } }, mNow, mNow);
  }
  for (Quarantine& from : nodes) {
    for (Quarantine& to : nodes) {
      to.Merge(from.ChangesSince(kStart), mNow);
    }
  }
  for (Quarantine& it : nodes) {
    it.Refresh(mNow + kTimeToRefute);
    CHECK(IsQuarantined(it, { kBad }));
    CHECK(!IsQuarantined(it, { kFirst }));
  }
}

// Guards against a part that ends five targets before it is found, although the
// targets end just when they begin to answer.
TEST(CrashEvidence, EndsAtTheBeginningOfAnAnswerWeighMore)
{
  Answer({ kBad });
  Answer({ kFirst });
  for (int n = 0; n < 3; ++n) {
    mNow += kApart;
    ++mTarget;
    mNode.RecordCrash(
      { ++mContent, { kFirst } }, mTarget, mNow - seconds(2), mNow);
    mNode.RecordCrash(
      { ++mContent, { kBad } }, mTarget, mNow - milliseconds(80), mNow);
  }
  mNode.Refresh(mNow + kTimeToRefute / 2);
  CHECK(IsQuarantined({ kBad }));
  CHECK(!IsQuarantined({ kFirst }));
}

TEST(CrashEvidence, QuarantineEndsInTime)
{
  EndTargets(3, { kBad });
  const auto end = mNode.EndOfQuarantine({ kOther, { kBad } });
  CHECK(end.has_value());
  mNode.Refresh(*end - milliseconds(500));
  CHECK(IsQuarantined({ kBad }));
  mNode.Refresh(*end);
  CHECK(!IsQuarantined({ kBad }));
}

// Guards against a sound part that stays quarantined because no request can
// show that it is sound, and against trials at all nodes.
TEST(CrashEvidence, OneRequestIsTriedAfterAWhile)
{
  EndTargets(3, { kBad });
  const RequestTraits traits{ kOther, { kBad } };
  CHECK(!mNode.TryTrial(traits, mNow + seconds(30)));
  mNode.SetMakesTrials(true);
  CHECK(!mNode.TryTrial(traits, mNow + seconds(29)));
  CHECK(mNode.TryTrial(traits, mNow + seconds(30)));
  CHECK(!mNode.TryTrial(traits, mNow + seconds(31)));
  CHECK(!mNode.TryTrial(traits, mNow + seconds(149)));
  CHECK(mNode.TryTrial(traits, mNow + seconds(150)));
  CHECK(IsQuarantined({ kBad }));
}

TEST(CrashEvidence, FewCrashesAreForgottenSooner)
{
  EndTargets(2, { kBad });
  mNode.Refresh(mNow + seconds(61));
  EndTarget({ kBad });
  CHECK(!IsQuarantined({ kBad }));
}

// Guards against callers who fill a node's memory, or push out what is known of
// a culprit.
TEST(CrashEvidence, MemoryIsBounded)
{
  EndTargets(3, { kBad });
  for (TraitId n = 0; n < 3 * Quarantine::kMaxSuspects; ++n) {
    mNode.RecordCrash({ 100000 + n, { 200000 + n } }, ++mTarget, {}, mNow);
  }
  CHECK(IsQuarantined({ kBad }));
  const auto all = mNode.ChangesSince(kStart);
  CHECK(all.size() <= Quarantine::kMaxSuspects * 16);
}

// Guards against nodes that each see too few crashes to find the culprit, and
// against a node that starts later.
TEST(CrashEvidence, NodesFindTheCulpritTogether)
{
  Quarantine nodes[3];
  for (Quarantine& it : nodes) {
    mNow += kApart;
    it.RecordCrash({ ++mContent, { kFirst, kBad } }, ++mTarget, {}, mNow);
    CHECK(!IsQuarantined(it, { kBad }));
  }
  nodes[0].RecordAnswer({ ++mContent, { kFirst } }, mNow, mNow);
  for (int round = 0; round < 2; ++round) {
    for (Quarantine& from : nodes) {
      for (Quarantine& to : nodes) {
        to.Merge(from.ChangesSince(kStart), mNow);
      }
    }
  }
  Quarantine late;
  late.Merge(nodes[1].StrongEvidence(), mNow + seconds(20));
  for (const Quarantine& it : nodes) {
    CHECK(IsQuarantined(it, { kBad }));
    CHECK(!IsQuarantined(it, { kFirst }));
  }
  CHECK(IsQuarantined(late, { kBad }));
}

// Guards against evidence that outlives its time because nodes report it back
// and forth.
TEST(CrashEvidence, ExchangeDoesNotRenewCrashes)
{
  Quarantine other;
  EndTargets(2, { kBad });
  for (int n = 0; n < 70; ++n) {
    mNow += seconds(1);
    other.Merge(mNode.StrongEvidence(), mNow);
    mNode.Merge(other.StrongEvidence(), mNow);
    mNode.Refresh(mNow);
    other.Refresh(mNow);
  }
  CHECK(mNode.StrongEvidence().empty());
  CHECK(other.StrongEvidence().empty());
}
