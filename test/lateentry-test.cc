#include "fakeplatform.h"
#include "fleet/watcher.h"
#include "manualclock.h"
#include "platform/decode.h"
#include "relay/relayedplatform.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr const char* kKey = "servers/v1";

/// An entry as its VM writes it.
/// @param aMore further members
std::string
EntryOf(int aBorn, int aCount, const std::string& aMore = "")
{
  return R"({"service":"s","addr":"10.0.0.1:80","zone":"a","domain":"d0",)" +
         std::string(R"("born":)") + std::to_string(aBorn) + R"(,"seq":)" +
         std::to_string(aCount) + R"(,"staged":["small"],)" +
         R"("models":[{"name":"small"}])" +
         (aMore.empty() ? R"(,"state":"ready")" : "," + aMore) + "}";
}

constexpr const char* kOpen = R"("state":"ready",
  "group":{"name":"g1","epoch":7,"rank":0,"state":"open"})";
constexpr const char* kLeaving = R"("state":"draining")";

} // namespace

/// The store executes a write of a VM seconds after it was sent, when it has
/// executed later ones.
TEST_GROUP(LateEntry)
{
  ManualClock mClock;
  Metrics mMetrics;
  FakePlatform mStore;
  FeedCache mFeeds{ mClock, WriteOrderOf };
  RelayedPlatform mRelay{ { mStore, mFeeds, nullptr, mMetrics, mClock } };
  FleetWatcher mWatcher{ mRelay,
                         { "servers/",
                           "config/",
                           "config/main",
                           [this](const Object& aObject) {
                             return DecodeVm(aObject, mClock.Now());
                           },
                           DecodeConfig },
                         mClock };

  void Poll()
  {
    mWatcher.PollVms(Duration::zero());
  }

  /// Reads an entry, then an older one, which the store has executed late.
  void PollBoth(const std::string& aEntry, const std::string& aLate)
  {
    mStore.Put(kKey, aEntry);
    Poll();
    mStore.Put(kKey, aLate);
    Poll();
  }

  bool IsOpen(const FleetVms& aVms) const
  {
    return IsServingHead(FindVm(aVms, "v1"));
  }
};

// Guards against a group that is given up, and a head that joins another one,
// as a late beat of the head shows it without its group (TWO).
TEST(LateEntry, DoesNotTakeAHeadOutOfItsGroup)
{
  PollBoth(EntryOf(5, 9, kOpen), EntryOf(5, 4));
  CHECK(IsOpen(*mWatcher.Vms()));
}

// Guards against a late beat of the life before a restart.
TEST(LateEntry, OfAnEarlierLifeIsNotBelieved)
{
  PollBoth(EntryOf(5, 9, kOpen), EntryOf(4, 90));
  CHECK(IsOpen(*mWatcher.Vms()));
}

// Guards against a leaving target that is back at work (DRAIN).
TEST(LateEntry, DoesNotBringALeavingTargetBackToWork)
{
  PollBoth(EntryOf(5, 9, kLeaving), EntryOf(5, 8));
  CHECK(VmState::Leaving == mWatcher.Vms()->at("v1").mState);
}

// Guards against a removed target that is back (DRAIN).
TEST(LateEntry, DoesNotBringARemovedTargetBack)
{
  mStore.Put(kKey, EntryOf(5, 9));
  Poll();
  mStore.Remove(kKey);
  Poll();
  mStore.Put(kKey, EntryOf(5, 8));
  Poll();
  CHECK(mWatcher.Vms()->empty());
  CHECK(mWatcher.ReadVms().value().empty());
  mStore.Put(kKey, EntryOf(5, 10));
  Poll();
  CHECK_EQUAL(1U, mWatcher.Vms()->size());
}

// Guards against a cold target that gets the usual rate, as a late beat of its
// earlier life was warm (FAILBACK).
TEST(LateEntry, DoesNotMakeAColdTargetWarm)
{
  PollBoth(EntryOf(6, 1, R"("state":"ready","cold_left_ms":4000)"),
           EntryOf(5, 90));
  CHECK(mWatcher.Vms()->at("v1").mColdUntil > mClock.Now());
}

// Guards against a planner that takes over and lists the entries itself.
TEST(LateEntry, IsNotBelievedInADirectList)
{
  mStore.Put(kKey, EntryOf(5, 9, kOpen));
  Poll();
  mStore.Put(kKey, EntryOf(5, 4));
  CHECK(IsOpen(mWatcher.ReadVms().value()));
  Poll();
  CHECK(IsOpen(*mWatcher.Vms()));
}

// Guards against a list after lost history that shows the late entry.
TEST(LateEntry, IsNotBelievedInAListAfterLostHistory)
{
  mStore.Put(kKey, EntryOf(5, 9, kOpen));
  Poll();
  mStore.Put(kKey, EntryOf(5, 4));
  mStore.ForgetHistory();
  mStore.Put("servers/v2", EntryOf(5, 1));
  Poll();
  CHECK_EQUAL(2U, mWatcher.Vms()->size());
  CHECK(IsOpen(*mWatcher.Vms()));
}

// Guards against an upstream that has started later and doesn't know the newer
// entry.
TEST(LateEntry, IsNotBelievedFromAnUpstream)
{
  Result<FeedResponse> answer = FeedResponse{};
  RelayedPlatform relay(
    { mStore,
      mFeeds,
      [&](const RosterEntry&, std::string_view, uint64_t, milliseconds) {
        return answer;
      },
      mMetrics,
      mClock });
  relay.SetUpstreams({ { { "n2", "a", { "10.0.0.2", 7 }, "token", 1 } }, {} });
  answer.value().mListing.mRevision = 10;
  answer.value().mListing.mObjects = { { kKey, 10, EntryOf(5, 9, kOpen) } };
  CHECK(relay.List("servers/", CallPriority::Config).has_value());
  answer.value().mListing.mRevision = 11;
  answer.value().mListing.mObjects = { { kKey, 11, EntryOf(5, 4) } };
  const Listing read = relay.Watch("servers/", 10, milliseconds(1)).value();
  STRCMP_EQUAL(EntryOf(5, 9, kOpen).c_str(), read.mObjects[0].mValue.c_str());
}

// Guards against an entry that another writer has replaced and that blocks the
// entries of the VM itself, or makes an older one of them believed.
TEST(LateEntry, IsNotBelievedAfterAnEntryOfAnotherWriter)
{
  PollBoth(EntryOf(5, 9, kOpen), R"({"service":7})");
  CHECK(mWatcher.Vms()->empty());
  mStore.Put(kKey, EntryOf(5, 4));
  Poll();
  CHECK(IsOpen(*mWatcher.Vms()));
  mStore.Put(kKey, EntryOf(5, 10));
  Poll();
  CHECK(!IsOpen(*mWatcher.Vms()));
}

// Guards against a key or route that is back after the store has executed a
// write of the configuration late.
TEST(LateEntry, DoesNotRevertTheConfiguration)
{
  const auto poll = [this](const char* aConfig) {
    mStore.Put("config/main", aConfig);
    mWatcher.PollConfig(Duration::zero());
    return mFeeds.WaitForChanges("config/", 0, mClock.Now())
      .value()
      .mListing.mObjects[0]
      .mValue;
  };
  poll(R"({"version":7})");
  STRCMP_EQUAL(R"({"version":7})", poll(R"({"version":6})").c_str());
}
