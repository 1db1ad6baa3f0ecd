#include "emulator/storeport.h"
#include "platform/objectstore.h"
#include "store/erarecord.h"
#include "store/revision.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace hibiscushold;
using emulator::Store;
using emulator::StoreAccess;
using emulator::StorePort;
using emulator::Timeline;
using emulator::WriteFate;

namespace {

constexpr uint64_t kEra = 3;

/// Waits until the emulator's clock shows another time.
void
PassTime(const Timeline& aTimeline)
{
  const int64_t now = aTimeline.Now();
  while (aTimeline.Now() == now) {
    std::this_thread::yield();
  }
}

} // namespace

/// The adapter against the emulator's store.
TEST_GROUP(StoreContract)
{
  Timeline mTimeline;
  Store mState{ mTimeline, kEra, 100 };
  StorePort mPort{ mState, mTimeline };
  SystemClock mClock;
  Metrics mMetrics;
  HttpClient mClient{ mClock };
  ObjectStore mStore{
    ParseEndpoint(mPort.Address()).value(), mClient, mClock, mMetrics
  };

  uint64_t Create(const char* aKey, const char* aValue)
  {
    return mStore.Create(aKey, aValue, CallPriority::Config).value();
  }

  Result<uint64_t> Update(
    const char* aKey, const char* aValue, uint64_t aVersion)
  {
    return mStore.Update(aKey, aValue, aVersion, CallPriority::Config);
  }

  std::string ValueOf(const char* aKey,
                      CallPriority aPriority = CallPriority::Config)
  {
    const Result<Object> object = mStore.Get(aKey, aPriority);
    return object ? object.value().mValue : "";
  }
};

// Guards against changes between a list and the watch that follows it which are
// missed or come twice, and against an object that was changed before it was
// deleted and counts as changed.
TEST(StoreContract, WatchContinuesWhereTheListEnded)
{
  const uint64_t first = Create("k/a", R"({"n":1})");
  const Listing listing = mStore.List("k/", CallPriority::Config).value();
  CHECK_EQUAL(first, listing.mRevision);
  const uint64_t second = Update("k/a", R"({"n":2})", first).value();
  Create("k/b", R"({"n":1})");
  Create("other/a", R"({"n":1})");
  CHECK(mStore.Delete("k/a", second, CallPriority::Config).has_value());
  const Listing changes =
    mStore.Watch("k/", listing.mRevision, milliseconds(0)).value();
  CHECK_EQUAL(1U, changes.mObjects.size());
  STRCMP_EQUAL("k/b", changes.mObjects[0].mKey.c_str());
  CHECK_EQUAL(1U, changes.mDeleted.size());
  STRCMP_EQUAL("k/a", changes.mDeleted[0].c_str());
}

// Guards against a write that succeeds although its condition doesn't hold.
TEST(StoreContract, ConditionalWritesFailOnceTheObjectHasChanged)
{
  const uint64_t first = Create("k/a", R"({"n":1})");
  CHECK(Update("k/a", R"({"n":2})", first).has_value());
  CHECK(Error::StoreConflict ==
        Update("k/a", R"({"n":3})", first).error().mError);
  CHECK(Error::StoreConflict ==
        mStore.Delete("k/a", first, CallPriority::Config).error().mError);
  CHECK(Error::StoreConflict ==
        mStore.Create("k/a", "{}", CallPriority::Config).error().mError);
  STRCMP_EQUAL(R"({"n":2})", ValueOf("k/a").c_str());
}

// Guards against a write whose answer is lost and that is taken for not done.
TEST(StoreContract, LostAnswerOfAWriteSaysNothingOfItsEffect)
{
  const uint64_t first = Create("k/a", R"({"n":1})");
  mPort.SetWriteFate(WriteFate::AnswerLost);
  CHECK(Error::StoreUnavailable ==
        Update("k/a", R"({"n":2})", first).error().mError);
  STRCMP_EQUAL(R"({"n":2})", ValueOf("k/a").c_str());
}

// Guards against a caller that waits for an answer which doesn't come, and
// against a late write that is executed although its condition no longer holds.
TEST(StoreContract, LateWriteIsGivenUpAndKeepsItsCondition)
{
  const uint64_t first = Create("k/a", R"({"n":1})");
  mPort.SetWriteFate(WriteFate::Late);
  const TimePoint sentAt = mClock.Now();
  CHECK(Error::StoreUnavailable ==
        Update("k/a", R"({"n":2})", first).error().mError);
  CHECK(mClock.Now() < sentAt + milliseconds(1500));
  mPort.SetWriteFate(WriteFate::Answered);
  CHECK(Update("k/a", R"({"n":3})", first).has_value());
  std::this_thread::sleep_for(milliseconds(2000));
  STRCMP_EQUAL(R"({"n":3})", ValueOf("k/a").c_str());
}

// Guards against a node that is turned away and takes that for an empty store,
// or waits without end.
TEST(StoreContract, TurnedAwayCallsFailInTime)
{
  Create("k/a", R"({"n":1})");
  for (const StoreAccess it :
       { StoreAccess::Busy, StoreAccess::Reset, StoreAccess::Silent }) {
    mPort.SetAccess(it);
    const TimePoint sentAt = mClock.Now();
    const Result<Listing> read = mStore.List("k/", CallPriority::Config);
    CHECK(!read && read.error().mError == Error::StoreUnavailable);
    CHECK(mClock.Now() < sentAt + milliseconds(1500));
  }
  mPort.SetAccess(StoreAccess::Open);
  CHECK_EQUAL(1U,
              mStore.List("k/", CallPriority::Config).value().mObjects.size());
}

// Guards against a watch that continues over changes which the store has
// forgotten.
TEST(StoreContract, WatchEndsWhenItsHistoryIsForgotten)
{
  const uint64_t first = Create("k/a", R"({"n":1})");
  Create("k/b", R"({"n":1})");
  mState.ForgetHistory();
  const Result<Listing> read = mStore.Watch("k/", first, milliseconds(0));
  CHECK(!read && read.error().mError == Error::StoreHistoryGone);
}

// Guards against an old answer to a call that needs a current one.
TEST(StoreContract, OnlyReadsOfTheStatusMayBeStale)
{
  const uint64_t first = Create("k/a", R"({"n":1})");
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(Update("k/a", R"({"n":2})", first).has_value());
  mPort.SetStaleLag(50);
  STRCMP_EQUAL(R"({"n":2})", ValueOf("k/a").c_str());
  STRCMP_EQUAL(R"({"n":1})", ValueOf("k/a", CallPriority::Status).c_str());
}

// Guards against a change that is missed because the store has returned from an
// older copy and gives it a revision that was used before.
TEST(StoreContract, ChangeOfAUsedRevisionIsSeenAfterAReturn)
{
  const uint64_t first = Create("k/a", R"({"n":1})");
  const int64_t copy = mTimeline.Now();
  PassTime(mTimeline);
  const uint64_t lost = Update("k/a", R"({"n":2})", first).value();
  std::thread returns([&] {
    std::this_thread::sleep_for(milliseconds(50));
    mState.ReturnTo(copy);
    mState.Put("k", "a", Json::Value("new"), std::nullopt);
  });
  const Result<Listing> watched = mStore.Watch("k/", lost, milliseconds(300));
  returns.join();
  CHECK(!watched && watched.error().mError == Error::StoreHistoryGone);
  const Listing listing = mStore.List("k/", CallPriority::Config).value();
  CHECK_EQUAL(StoreRevisionOf(lost), StoreRevisionOf(listing.mRevision));
  CHECK(listing.mRevision > lost);
  CHECK(Error::StoreConflict ==
        Update("k/a", R"({"n":4})", lost).error().mError);
}

// Guards against the record of a complete era that a later era takes for its
// own.
TEST(StoreContract, RecordOfACompleteEraEndsWithTheEra)
{
  Create("k/a", "{}");
  CHECK(!IsEraComplete(mStore, kEra));
  CHECK(RecordCompleteEra(mStore, kEra).has_value());
  CHECK(RecordCompleteEra(mStore, kEra).has_value());
  CHECK(IsEraComplete(mStore, kEra));
  mState.ReturnTo(mTimeline.Now());
  CHECK(!IsEraComplete(mStore, kEra + 1));
}
