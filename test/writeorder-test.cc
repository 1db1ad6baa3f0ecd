#include "manualclock.h"
#include "relay/writeorder.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr uint64_t kEarlierLife = 100;
constexpr uint64_t kLife = 200;

} // namespace

TEST_GROUP(WriteOrder)
{
  ManualClock mClock;
  KnownWrites mKnown;
  uint64_t mVersion = 0;

  /// Reads what the store has after another write.
  /// @return whether the content is believed
  bool Read(uint64_t aStart, uint64_t aCount)
  {
    return !IsOutdated(
      mKnown, { "v/1", ++mVersion, "x" }, { aStart, aCount }, mClock.Now());
  }
};

// Guards against an entry that a write executed late takes back, of this life
// of its writer or an earlier one.
TEST(WriteOrder, IsNotTakenBackByALateWrite)
{
  CHECK(Read(kLife, 5));
  CHECK(!Read(kLife, 4));
  CHECK(!Read(kEarlierLife, 90));
  CHECK(Read(kLife, 5));
  CHECK(Read(kLife, 6));
  CHECK(!Read(kLife, 5));
}

// Guards against several late writes of one life that are taken for a writer
// which goes on.
TEST(WriteOrder, IsNotTakenBackBySeveralLateWrites)
{
  CHECK(Read(kLife, 9));
  CHECK(!Read(kLife, 5));
  mClock.Advance(seconds(3));
  CHECK(!Read(kLife, 6));
  mClock.Advance(seconds(3));
  CHECK(!Read(kLife, 7));
}

// Guards against late writes of an earlier life between those of the present
// one, each of which is the first again.
TEST(WriteOrder, CountsLateWritesFromTheLastWriteInOrder)
{
  CHECK(Read(kLife, 1));
  CHECK(!Read(kEarlierLife, 90));
  mClock.Advance(seconds(2));
  CHECK(Read(kLife, 2));
  CHECK(!Read(kEarlierLife, 91));
}

// Guards against a target that is refused for good as its clock went back
// between two starts.
TEST(WriteOrder, BelievesAWriterThatGoesOnWithAnEarlierStart)
{
  CHECK(Read(kLife, 50));
  CHECK(!Read(kEarlierLife, 1));
  mClock.Advance(milliseconds(1200));
  CHECK(!Read(kEarlierLife, 2));
  mClock.Advance(milliseconds(1200));
  CHECK(Read(kEarlierLife, 3));
  CHECK(Read(kEarlierLife, 4));
  CHECK(!Read(kEarlierLife, 3));
}

// Guards against a target that is refused for good as another writer has given
// its entry a number that it won't reach.
TEST(WriteOrder, BelievesAWriterThatGoesOnWithLowerNumbers)
{
  CHECK(Read(kLife, 50));
  CHECK(Read(kLife, uint64_t{ 1 } << 60));
  CHECK(!Read(kLife, 51));
  mClock.Advance(seconds(9));
  CHECK(!Read(kLife, 52));
  mClock.Advance(seconds(1));
  CHECK(Read(kLife, 53));
}

// Guards against a configuration that is reverted: its versions have no start
// and always rise.
TEST(WriteOrder, NeverGoesBackWithoutAStart)
{
  CHECK(Read(0, 7));
  for (uint64_t version = 1; version < 7; ++version) {
    CHECK(!Read(0, version));
    mClock.Advance(seconds(20));
  }
  CHECK(Read(0, 8));
}

// Guards against one late write that counts several times, as it is read again.
TEST(WriteOrder, CountsALateWriteOnce)
{
  CHECK(Read(kLife, 5));
  CHECK(!Read(kEarlierLife, 90));
  mClock.Advance(seconds(60));
  CHECK(IsOutdated(
    mKnown, { "v/1", mVersion, "x" }, { kEarlierLife, 91 }, mClock.Now()));
}

// Guards against memory that grows with every target there ever was, and
// against a deleted entry that a late write brings back.
TEST(WriteOrder, IsKnownForATimeAfterTheObjectIsGone)
{
  const auto none = [](const std::string&) { return false; };
  CHECK(Read(kLife, 5));
  mClock.Advance(seconds(20));
  ForgetOldWrites(mKnown, none, mClock.Now());
  CHECK(!Read(kLife, 4));
  mClock.Advance(seconds(20));
  ForgetOldWrites(
    mKnown, [](const std::string&) { return true; }, mClock.Now());
  CHECK_EQUAL(1U, mKnown.size());
  ForgetOldWrites(mKnown, none, mClock.Now());
  CHECK_EQUAL(0U, mKnown.size());
}
