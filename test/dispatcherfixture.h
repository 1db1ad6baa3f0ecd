#pragma once

#include "fakeplatform.h"
#include "scriptedserver.h"
#include "serve/dispatcher.h"

#include <functional>
#include <memory>
#include <string>

namespace hibiscushold {

/// Collects the events of one response.
class CollectingSink final : public EventSink
{
public:
  bool OnEvent(std::string_view aEvent) override
  {
    mEvents += aEvent;
    return true;
  }

  bool IsCallerDisconnected() override
  {
    return mIsDisconnected && mIsDisconnected();
  }

  std::string mEvents;
  std::function<bool()> mIsDisconnected;
};

/// A dispatcher with one account, one route and one service. The targets of the
/// service are scripted servers.
class DispatcherFixture
{
public:
  DispatcherFixture()
  {
    auto config = std::make_shared<ActiveConfig>();
    config->mVersion = 1;
    config->mRules.mAccounts.push_back({ "yard", "", 0, 0, 1, {} });
    config->mRules.mServices.push_back({ "engines", "workers", {} });
    config->mRules.mPolicies.push_back(
      { "policy", Priority::Normal, true, milliseconds(5000), 0, false, {} });
    config->mRules.mRoutes.push_back(
      { "route", "/x", "*", "*", "engines", "policy", {} });
    mConfig = std::move(config);
  }

  /// Adds a target. The first one is preferred.
  void AddTarget(const Endpoint& aAddress)
  {
    const size_t n = mPlatform.mVms.size() + 1;
    mPlatform.mVms.push_back({ "vm-" + std::to_string(n),
                               "1",
                               aAddress,
                               n == 1 ? "a" : "b",
                               "d",
                               "workers",
                               VmState::Live });
    (void)mVms.Poll();
  }

  PolicyRule& Policy() { return mConfig->mRules.mPolicies.front(); }

  CallerRequest MakeRequest(bool aStream) const
  {
    const Rules& rules = mConfig->mRules;
    CallerRequest request;
    request.mId = "r1";
    request.mAccount = "yard";
    request.mMethod = "POST";
    request.mPath = "/x";
    request.mBody = "lot";
    request.mIdempotencyKey = "k1";
    request.mStream = aStream;
    request.mConfig = mConfig;
    request.mMatch = { &rules.mRoutes.front(),
                       &rules.mPolicies.front(),
                       nullptr,
                       &rules.mServices.front() };
    request.mDeadline = mClock.Now() + rules.mPolicies.front().mTimeout;
    return request;
  }

  /// Leaves the route without retries.
  void SpendRetryBudget()
  {
    while (mRetries.TakeRetry("route")) {
    }
  }

  SystemClock mClock;
  FakePlatform mPlatform;
  Metrics mMetrics;
  RetryBudgets mRetries;

private:
  std::shared_ptr<ActiveConfig> mConfig;
  ViewWatcher mViews{ mPlatform, mClock };
  VmList mVms{ mPlatform };
  ProbeTable mProbes;
  InFlightTable mInFlight;
  TargetLimits mLimits;
  HealthTable mHealth;
  AccountLimits mAccounts;
  TargetFinder mTargets{
    "a",
    { mViews, mVms, mProbes, mInFlight, mLimits, mHealth, mClock },
    seconds(3)
  };
  AdmissionController mAdmission{
    { mTargets, mLimits, mHealth, mAccounts, mMetrics, mClock },
    100
  };
  ClaimWriter mClaimWriter{ mPlatform, mClock };
  ClaimStore mClaims{ "node-1",
                      mPlatform,
                      mClaimWriter,
                      mClock,
                      std::chrono::hours(24) };
  SessionPool mSessions{ mClock };

public:
  /// Silence of a target that is longer than this counts as a stall.
  static constexpr auto kLimit = milliseconds(150);

  Dispatcher mDispatcher{ { mAdmission,
                            mTargets,
                            mLimits,
                            mHealth,
                            mRetries,
                            mSessions,
                            mInFlight,
                            mClaims,
                            mMetrics,
                            mClock },
                          { kLimit, kLimit } };
};

} // namespace hibiscushold
