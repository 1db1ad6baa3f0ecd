#pragma once

#include "observe/metrics.h"
#include "route/accountlimits.h"
#include "route/admissionqueue.h"
#include "route/targetfinder.h"

#include <boost/outcome/basic_result.hpp>

#include <array>
#include <memory>

namespace hibiscushold {

/// Properties of a request that decide on its admission.
struct AdmissionRequest
{
  const AccountRule& mAccount;
  const RouteMatch& mMatch;
  TimePoint mDeadline;
};

/// Enforces account limits and queues requests on this node before they are
/// sent to targets. Thread-safe.
class AdmissionController
{
public:
  struct Dependencies
  {
    const TargetFinder& mTargets;
    TargetLimits& mLimits;
    HealthTable& mHealth;
    AccountLimits& mAccounts;
    Metrics& mMetrics;
    const Clock& mClock;
  };

  /// Represents an admitted request; the destructor releases its capacity.
  class Permit
  {
  public:
    Permit(AdmissionController& aController,
           AdmissionQueue& aQueue,
           std::string aAccount);
    ~Permit();
    Permit(const Permit&) = delete;
    Permit& operator=(const Permit&) = delete;

    /// Marks the request as answered, so that its duration is included in the
    /// service time statistics.
    void MarkAnswered() { mAnswered = true; }

  private:
    AdmissionController& mController;
    AdmissionQueue& mQueue;
    const std::string mAccount;
    const TimePoint mStartedAt;
    bool mAnswered = false;
  };

  /// Holds a value or the reason for which the request was denied.
  template<class T>
  using AdmissionResult = boost::outcome_v2::
    basic_result<T, Denial, boost::outcome_v2::policy::all_narrow>;

  /// @param aQueueBound maximum number of requests that wait for one pool of
  ///        targets
  AdmissionController(Dependencies aDependencies, size_t aQueueBound);

  /// Blocks until the request is admitted or denied.
  /// @return a permit to hold while the request runs, or why it was denied; a
  ///         denied request did not run
  AdmissionResult<std::unique_ptr<Permit>> Admit(
    const AdmissionRequest& aRequest);

private:
  static constexpr size_t kShards = 16;

  /// Admission queue of one pool of targets.
  struct Pool
  {
    Pool(size_t aQueueBound, const Clock& aClock)
      : mQueue(aQueueBound, aClock)
    {
    }

    AdmissionQueue mQueue;
    std::mutex mLock;
    TimePoint mNextRefresh; ///< when the capacity is next recomputed
  };

  struct Shard
  {
    std::mutex mLock;
    std::map<std::string, Pool> mPools;
  };

  Pool& PoolOf(const std::string& aName);
  /// Adjusts the concurrency limits of the pool's targets, ejects slow targets,
  /// and sets the capacity of the queue.
  void RefreshCapacity(Pool& aPool, const RouteMatch& aMatch);
  void EjectStragglers(const std::vector<std::string>& aTargets,
                       TimePoint aNow);
  /// Counts the denial in the metrics.
  Denial CountDenial(const Denial& aDenial);

  Dependencies mDependencies;
  const size_t mQueueBound;
  std::array<Shard, kShards> mShards;
};

} // namespace hibiscushold
