#include "manualclock.h"
#include "relay/gonenodes.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

TEST_GROUP(GoneNodes)
{
  ManualClock mClock;
  Roster mRoster;
  GoneNodes mGone;

  void setup() override
  {
    for (const char* it : { "n1", "n2", "n3" }) {
      SetEntry(it, 1, false);
    }
  }

  void SetEntry(const char* aId, uint64_t aVersion, bool aIsDoubted)
  {
    RosterEntry entry{ aId, "a", {}, "token", 1 };
    entry.mIsDoubted = aIsDoubted;
    mRoster[aId] = { entry, aVersion };
    RecordRoster(mGone, mRoster, mClock.Now());
  }

  void Call(const char* aId, bool aAnswered)
  {
    RecordCall(mGone, aId, aAnswered, mClock.Now());
  }

  /// Calls a node in vain for long enough to doubt that it runs.
  void CallInVain(const char* aId)
  {
    for (int n = 0; n < 3; ++n) {
      Call(aId, false);
      mClock.Advance(milliseconds(1400));
    }
  }

  /// @return the writes, like "doubt n2 1"
  std::string Writes() const
  {
    std::string text;
    for (const GoneNodeWrite& it : FindWrites(mGone, mRoster, mClock.Now())) {
      text += (it.mDeletes ? "delete " : "doubt ") + it.mNodeId + " " +
              std::to_string(it.mVersion) + ";";
    }
    return text;
  }
};

// Guards against a node that is taken for gone while it restarts, or as one
// call was lost.
TEST(GoneNodes, AreDoubtedAfterSeveralCallsOverSeconds)
{
  Call("n2", false);
  Call("n2", false);
  Call("n2", false);
  STRCMP_EQUAL("", Writes().c_str());
  mClock.Advance(seconds(4));
  STRCMP_EQUAL("doubt n2 1;", Writes().c_str());
  Call("n2", true);
  STRCMP_EQUAL("", Writes().c_str());
}

// Guards against an entry that stays for ever although its node is gone.
TEST(GoneNodes, AreDeletedIfNobodyRemovesTheDoubt)
{
  CallInVain("n2");
  SetEntry("n2", 7, true);
  mClock.Advance(milliseconds(9900));
  STRCMP_EQUAL("", Writes().c_str());
  mClock.Advance(milliseconds(100));
  STRCMP_EQUAL("delete n2 7;", Writes().c_str());
}

// Guards against a node that is forgotten although it runs, as only this one
// can't reach it; and against entries that are written again and again.
TEST(GoneNodes, AreTrustedForATimeAfterTheyHaveRemovedADoubt)
{
  CallInVain("n2");
  SetEntry("n2", 7, true);
  mClock.Advance(seconds(5));
  SetEntry("n2", 8, false);
  CallInVain("n2");
  STRCMP_EQUAL("", Writes().c_str());
  mClock.Advance(seconds(60));
  STRCMP_EQUAL("doubt n2 8;", Writes().c_str());
}

// Guards against a deletion by a node that was paused after another one had
// stated the doubt anew.
TEST(GoneNodes, AreDeletedOnlyALongTimeAfterTheLatestDoubt)
{
  CallInVain("n2");
  SetEntry("n2", 7, true);
  mClock.Advance(seconds(60));
  SetEntry("n2", 9, true);
  STRCMP_EQUAL("", Writes().c_str());
  mClock.Advance(seconds(10));
  STRCMP_EQUAL("delete n2 9;", Writes().c_str());
}

// Guards against a doubt of another node by which this one deletes an entry
// whose node it has not called.
TEST(GoneNodes, AreNotDeletedOnTheWordOfAnother)
{
  SetEntry("n2", 7, true);
  mClock.Advance(seconds(60));
  STRCMP_EQUAL("", Writes().c_str());
}

// Guards against nodes that nobody calls.
TEST(GoneNodes, EachNodeIsNextToAnother)
{
  std::set<std::string> next;
  for (const auto& [id, node] : mRoster) {
    const std::vector<RosterEntry> ring = RingAfter(mRoster, id);
    CHECK_EQUAL(2U, ring.size());
    next.insert(ring[0].mId);
  }
  CHECK_EQUAL(3U, next.size());
  CHECK(RingAfter({}, "n1").empty());
}
