#include "groups/engine.h"
#include "standin/engine.h"
#include "standin/platform.h"
#include "store/httpplatform.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr auto kTimeout = milliseconds(2000);

/// An order, the fault that is active when it is sent, and the expected result.
struct OrderCase
{
  const char* mWhy;
  const char* mFault;
  uint64_t mFencing;
  const char* mGroup;
  bool mAccepted;
  const char* mReportedGroup; ///< group that the status reports afterwards
};

constexpr OrderCase kOrderCases[] = {
  { "the first order", "", 10, "g1", true, "g1" },
  { "the same number again", "", 10, "g1", true, "g1" },
  { "an order of an earlier state", "", 9, "g0", false, "g1" },
  { "a release of an earlier state", "", 9, "", false, "g1" },
  { "a release of a later state", "", 11, "", true, "" },
  { "a late order after the release", "", 10, "g1", false, "" },
  { "an engine that does not check fencing numbers",
    "ignore_fencing",
    5,
    "g1",
    true,
    "g1" },
};

} // namespace

TEST_GROUP(EngineOrders)
{
  SystemClock mClock;
  HttpClient mClient{ mClock };
  EngineClient mEngines{ mClient };
  Metrics mMetrics;
};

TEST(EngineOrders, AreAcceptedUnlessTheirFencingNumberIsLower)
{
  standin::PlatformStandin platform(0);
  standin::VmOptions options;
  options.mId = "a";
  options.mPlatform = platform.Address();
  standin::EngineStandin engine(options);
  for (const OrderCase& it : kOrderCases) {
    if (*it.mFault != 0) {
      engine.Faults().Set(it.mFault, "1");
    }
    Order order;
    order.mFencing = it.mFencing;
    order.mGroup = it.mGroup;
    order.mModel = *it.mGroup == 0 ? "" : "m";
    const Result<void> sent =
      mEngines.SendOrder(engine.Address(), order, mClock.Now() + kTimeout);
    CHECK_EQUAL_TEXT(it.mAccepted, sent.has_value(), it.mWhy);
    if (!sent) {
      CHECK_TEXT(sent.error().mError == Error::OrderRefused, it.mWhy);
    }
    const Result<EngineStatus> status =
      mEngines.Status(engine.Address(), mClock.Now() + kTimeout);
    CHECK_TEXT(status.has_value(), it.mWhy);
    STRCMP_EQUAL_TEXT(
      it.mReportedGroup, status.value().mGroup.c_str(), it.mWhy);
  }
  engine.Faults().Set("freeze", "1");
  CHECK_FALSE(mEngines.Status(engine.Address(), mClock.Now() + milliseconds(50))
                .has_value());
  engine.Faults().Set("freeze", "");
}

TEST(EngineOrders, VmListShowsIncarnationDomainAndState)
{
  standin::PlatformStandin standIn(0);
  HttpPlatform platform(standIn.Address(), 50, mClient, mClock, mMetrics);
  standin::VmOptions options;
  options.mId = "a";
  options.mDomain = "rack";
  options.mPlatform = standIn.Address();
  standin::EngineStandin engine(options);
  Result<VmListing> vms = platform.ListVms(0);
  const TimePoint by = mClock.Now() + seconds(20);
  while (mClock.Now() < by && vms && vms.value().mVms.empty()) {
    std::this_thread::sleep_for(milliseconds(10));
    vms = platform.ListVms(0);
  }
  CHECK_EQUAL(1u, vms.value().mVms.size());
  const Vm vm = vms.value().mVms[0];
  STRCMP_EQUAL("rack", vm.mDomain.c_str());
  CHECK(VmState::Live == vm.mState);
  const Result<EngineStatus> status =
    mEngines.Status(vm.mAddress, mClock.Now() + kTimeout);
  STRCMP_EQUAL(status.value().mIncarnation.c_str(), vm.mIncarnation.c_str());
  const HttpRequest leave{
    "PUT", "/vms", {}, R"({"id":"a","state":"leaving"})"
  };
  CHECK(mClient.Call(standIn.Address(), leave, mClock.Now() + kTimeout)
          .has_value());
  vms = platform.ListVms(0);
  CHECK_EQUAL(1u, vms.value().mVms.size());
  CHECK(VmState::Leaving == vms.value().mVms[0].mState);
  const VmListing again = platform.ListVms(vms.value().mRevision).value();
  CHECK(again.mUnchanged);
  CHECK(again.mVms.empty());
  standIn.Faults().Set("outage", "1");
  CHECK(Error::StoreUnavailable == platform.ListVms(0).error().mError);
}
