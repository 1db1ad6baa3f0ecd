#include "cluster/drain.h"

#include "cluster/vmlist.h"
#include "fakeplatform.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

TEST_GROUP(Drains)
{
  FakePlatform mPlatform;

  void setup() override
  {
    Vm vm;
    vm.mId = "a";
    vm.mIncarnation = "1";
    mPlatform.mVms = { vm };
  }

  VmState StateOf(const VmList& aList)
  {
    return aList.Vms()->front().mState;
  }
};

TEST(Drains, AppliesAtOnceAndUntilTheVmIsReplaced)
{
  VmList list(mPlatform);
  CHECK(list.Poll().has_value());
  CHECK(VmState::Live == StateOf(list));
  list.SetDrains({ { "a", "1" } });
  CHECK(VmState::Leaving == StateOf(list));
  CHECK(list.Poll().has_value());
  CHECK(VmState::Leaving == StateOf(list));
  mPlatform.mVms[0].mIncarnation = "2";
  CHECK(list.Poll().has_value());
  CHECK(VmState::Live == StateOf(list));
}

TEST(Drains, StoringAndRemovingAreIdempotent)
{
  const Drain drain{ "a", "1" };
  CHECK(StoreDrain(mPlatform, drain).has_value());
  CHECK(StoreDrain(mPlatform, drain).has_value());
  const std::string key = std::string(kDrainPrefix) + "a";
  CHECK(drain == ParseDrain(mPlatform.mObjects[key].mValue).value());
  CHECK(StoreDrain(mPlatform, { "a", "2" }).has_value());
  CHECK(RemoveDrain(mPlatform, "a").has_value());
  CHECK(RemoveDrain(mPlatform, "a").has_value());
  CHECK(mPlatform.mObjects.empty());
}

TEST(Drains, ReportsAnUnavailableStore)
{
  mPlatform.mNextReadFault = StoreFault::Unavailable;
  CHECK(Error::StoreUnavailable ==
        StoreDrain(mPlatform, { "a", "1" }).error().mError);
  CHECK(mPlatform.mObjects.empty());
}
