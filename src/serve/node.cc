#include "serve/node.h"

#include "cluster/heartbeatmonitor.h"
#include "cluster/registration.h"
#include "config/follower.h"
#include "core/ids.h"
#include "core/json.h"
#include "core/periodictask.h"
#include "groups/groupmanager.h"
#include "groups/groupmetrics.h"
#include "groups/prober.h"
#include "groups/reportexchange.h"
#include "observe/events.h"
#include "observe/taskfailure.h"
#include "route/demandtable.h"
#include "serve/callerhandler.h"
#include "serve/claimsweeper.h"
#include "serve/listen.h"
#include "serve/peerport.h"
#include "serve/rpcmethods.h"
#include "serve/vmmethods.h"
#include "store/httpplatform.h"

#include <Poco/ThreadPool.h>

#include <array>
#include <atomic>
#include <optional>

namespace hibiscushold {

namespace {

constexpr auto kWatchInterval = milliseconds(5);
constexpr auto kWatchRetryDelay = milliseconds(300);
constexpr auto kVmListInterval = milliseconds(1000);
constexpr auto kProbeInterval = milliseconds(1000);
constexpr auto kGroupMetricsInterval = milliseconds(1000);
constexpr auto kReportExchangeInterval = milliseconds(100);
constexpr auto kHeartbeatInterval = milliseconds(1000);
constexpr auto kGroupManagerInterval = milliseconds(300);
constexpr auto kCredentialReloadInterval = milliseconds(2000);
constexpr auto kClaimWriteInterval = milliseconds(20);
constexpr auto kClaimFlushTimeout = seconds(5);
constexpr auto kPendingChangeCheckInterval = milliseconds(1000);
constexpr auto kRegistrationCheckInterval = milliseconds(5000);
constexpr auto kStopPollInterval = milliseconds(20);
constexpr auto kStopIdlePeriod = milliseconds(200);
constexpr auto kDemandInterval = milliseconds(1000);
/// Each member that sends a request or waits for a response occupies a
/// connection and so a thread.
constexpr int kPeerThreads = 768;
/// The queue in front of a pool of targets may hold the maximum number of
/// connections divided by this.
constexpr uint32_t kQueueShareDivisor = 4;

Member
MakeSelf(const Settings& aSettings)
{
  return { aSettings.mNodeId,
           NewId(),
           aSettings.mZone,
           aSettings.mCallerListen,
           aSettings.mPeerListen };
}

} // namespace

struct Node::Impl
{
  Impl(Settings aSettings, std::shared_ptr<Credentials> aCredentials)
    : mSettings(std::move(aSettings))
    , mCredentials(std::move(aCredentials))
    , mSelf(MakeSelf(mSettings))
    , mClient(mClock)
    , mPlatform(mSettings.mPlatform,
                mSettings.mStoreCallsPerSecond,
                mClient,
                mClock,
                mMetrics)
    , mPeerClient(mClock, mCredentials->PeerClientTls())
    , mPeers(mPeerClient, mCredentials->PeerTokens())
    , mViews(mPlatform, mClock)
    , mVms(mPlatform)
    , mHeartbeats(mSelf.mId,
                  mViews,
                  mPeers,
                  mClock,
                  [this](const std::string& aMember,
                         const Json::Value& aStatus,
                         TimePoint aRequestSentAt) {
                    mDemand.Update(aMember, aStatus);
                    mFollower.OnStatus(aStatus, aRequestSentAt);
                  })
    , mConfig(mPlatform)
    , mCoordinator(mSelf.mId,
                   mPlatform,
                   mPeers,
                   mClock,
                   { mSettings.mMinMembers, mSettings.mMaxConfigAge })
    , mFollower(mConfig, mCoordinator, mClock, mSettings.mMaxConfigAge)
    , mEngines(mClient)
    , mProber(mVms, mEngines, mProbes, mClock)
    , mReportExchange(mSelf.mId, mViews, mPeers, mProbes, mClock)
    , mGroupManager(
        mSelf.mId,
        { mPlatform,
          mViews,
          mVms,
          mProbes,
          mConfig,
          mEngines,
          mMetrics,
          mClock },
        [this](const std::string& aDomain) { return RoleFor(aDomain); },
        mSettings.mLeaseDuration,
        mSettings.mMaxProbeAge)
    , mGroupMetrics({ mViews, mVms, mProbes, mConfig, mMetrics, mClock },
                    mSettings.mMaxProbeAge)
    , mSessions(mClock)
    , mClaimWriter(mPlatform, mClock)
    , mClaims(mSelf.mId,
              mPlatform,
              mClaimWriter,
              mClock,
              mSettings.mClaimRetention)
    , mClaimSweeper(
        mPlatform,
        mClock,
        mSettings.mClaimRetention,
        [this](const std::string& aPrefix) { return ShouldSweep(aPrefix); })
    , mTargets(mSelf.mZone,
               { mViews, mVms, mProbes, mInFlight, mLimits, mHealth, mClock },
               mSettings.mMaxProbeAge)
    , mAdmission({ mTargets, mLimits, mHealth, mAccounts, mMetrics, mClock },
                 mSettings.mMaxConnections / kQueueShareDivisor)
    , mDispatcher({ mAdmission,
                    mTargets,
                    mLimits,
                    mHealth,
                    mRetries,
                    mSessions,
                    mInFlight,
                    mClaims,
                    mMetrics,
                    mClock },
                  { mSettings.mFirstByteTimeout, mSettings.mMaxEventGap })
  {
    const MethodDependencies parts{ mSelf,
                                    mViews,
                                    mVms,
                                    mHeartbeats,
                                    mProbes,
                                    mConfig,
                                    mCoordinator,
                                    mDemand,
                                    mClaims,
                                    mClock,
                                    mSettings.mMaxProbeAge };
    AddPeerMethods(mPeerMethods, parts);
    mReportExchange.AddMethod(mPeerMethods);
    AddOperatorMethods(mOperatorMethods, parts);
    AddVmMethods(mOperatorMethods,
                 { mPlatform, mViews, mVms, mProbes, mClock });
    mViews.AddListener([this](const ViewWatcher::ViewPtr& aView) {
      mVms.SetDrains(aView->mDrains);
    });
    mViews.AddListener(
      [this](const ViewWatcher::ViewPtr& aView) { mFollower.OnView(*aView); });
  }

  LeaseRole RoleFor(const std::string& aDomain) const
  {
    return mStopping ? LeaseRole::Ineligible
                     : DecideRole(mHeartbeats.Alive(), mSelf.mId, aDomain);
  }

  bool ShouldSweep(const std::string& aPrefix) const
  {
    return !mStopping &&
           PreferredMember(mHeartbeats.Alive(), aPrefix) == mSelf.mId;
  }

  std::vector<ExchangeMember> AliveMembers() const
  {
    const ViewWatcher::ViewPtr view = mViews.View();
    std::vector<ExchangeMember> members;
    for (const std::string& it : mHeartbeats.Alive()) {
      const auto member = view->mMembers.find(it);
      members.push_back(
        { it,
          member == view->mMembers.end() ? "" : member->second.mValue.mZone });
    }
    return members;
  }

  void ProbeStep()
  {
    const ViewWatcher::ViewPtr view = mViews.View();
    const VmList::ListPtr vms = mVms.Vms();
    ProbeInput input{ mSelf.mId, AliveMembers(), {} };
    for (const Vm& it : *vms) {
      if (!it.mDomain.empty() && RoleFor(it.mDomain) != LeaseRole::Ineligible) {
        input.mManagedDomains.insert(it.mDomain);
      }
    }
    const TimePoint now = mClock.Now();
    mProber.Step(ChooseVmsToProbe(
      input, *view, *vms, mProbes, now, mSettings.mMaxProbeAge));
    RecordSliceReports(*view, mProbes, mClock.Now(), mSettings.mMaxProbeAge);
    mProbes.SliceReports().RemoveOlderThan(now - mSettings.mMaxProbeAge * 2);
  }

  void ClearAbandonedChangeStep()
  {
    const bool preferred =
      PreferredMember(mHeartbeats.Alive(), kConfigHeadKey) == mSelf.mId;
    mFollower.ClearAbandonedChange(*mViews.View(), preferred);
  }

  void WatchStep()
  {
    Result<void> stepped = mViews.Poll();
    if (stepped.has_value() == mStoreLost) {
      mStoreLost = !stepped.has_value();
      LogEvent(mStoreLost ? EventId::StoreLost : EventId::StoreBack,
               { { "reason", stepped ? "" : Describe(stepped.error()) } });
    }
    if (!stepped) {
      std::this_thread::sleep_for(kWatchRetryDelay);
    }
  }

  void RegisterStep()
  {
    if (mStopping) {
      return;
    }
    const auto view = mViews.View();
    const auto it = view->mMembers.find(mSelf.mId);
    if (it != view->mMembers.end() &&
        it->second.mValue.mIncarnation == mSelf.mIncarnation) {
      return;
    }
    if (RegisterMember(mPlatform, mSelf)) {
      LogEvent(EventId::MemberRegistered, { { "member", mSelf.mId } });
    }
  }

  void DemandStep()
  {
    mDemand.Announce(mAccounts.EndPeriod(mClock.Now()));
    const std::vector<std::string> alive = mHeartbeats.Alive();
    mAccounts.SetOtherDemand(mDemand.PruneAndList(alive), alive.size());
  }

  void HeartbeatStep()
  {
    mHeartbeats.SendHeartbeats();
    mMetrics.SetGauge("control_bytes_asked",
                      static_cast<double>(mClient.BytesTransferred()));
  }

  Result<void> Open()
  {
    BOOST_OUTCOME_TRY(
      callers, ListenOn(mSettings.mCallerListen, mCredentials->CallerTls()));
    BOOST_OUTCOME_TRY(peers,
                      ListenOn(mSettings.mPeerListen, mCredentials->PeerTls()));
    const int callerThreads = static_cast<int>(mSettings.mMaxConnections);
    mCallerThreads.emplace(2, PoolCapacity(callerThreads));
    mPeerThreads.emplace(2, PoolCapacity(kPeerThreads));
    mPeerServer.emplace(MakePeerHandler({ mPeerMethods,
                                          mOperatorMethods,
                                          mMetrics,
                                          mCredentials->PeerTokens(),
                                          mCredentials->OperatorTokens() }),
                        *mPeerThreads,
                        peers,
                        MakeServerParams(kPeerThreads));
    mCallerServer.emplace(MakeCallerHandler({ mSettings,
                                              mConfig,
                                              mHeartbeats,
                                              mSelf,
                                              mDispatcher,
                                              mMetrics,
                                              mClock,
                                              mStopping,
                                              mActiveRequests }),
                          *mCallerThreads,
                          callers,
                          MakeServerParams(callerThreads));
    mPeerServer->Start();
    mCallerServer->Start();
    return boost::outcome_v2::success();
  }

  void AddTask(const char* aName, Duration aPause, std::function<void()> aTask)
  {
    mTasks.emplace_back(
      aPause, std::move(aTask), LogFailuresOf(aName, mMetrics));
  }

  void StartTasks()
  {
    AddTask("watch", kWatchInterval, [this] { WatchStep(); });
    AddTask("vms", kVmListInterval, [this] { (void)mVms.Poll(); });
    AddTask("probe", kProbeInterval, [this] { ProbeStep(); });
    for (size_t i = 0; i < mReportSources.size(); ++i) {
      AddTask("reports", kReportExchangeInterval, [this, i] {
        mReportExchange.Step(AliveMembers(), i, mReportSources[i]);
      });
    }
    AddTask(
      "group_metrics", kGroupMetricsInterval, [this] { mGroupMetrics.Step(); });
    AddTask("heartbeat", kHeartbeatInterval, [this] { HeartbeatStep(); });
    AddTask("demand", kDemandInterval, [this] { DemandStep(); });
    AddTask("groups", kGroupManagerInterval, [this] { mGroupManager.Step(); });
    AddTask(
      "claim_writer", kClaimWriteInterval, [this] { mClaimWriter.Step(); });
    AddTask("claim_sweeper",
            ClaimSweeper::StepInterval(mSettings.mClaimRetention),
            [this] { (void)mClaimSweeper.Step(); });
    AddTask("pending_change", kPendingChangeCheckInterval, [this] {
      ClearAbandonedChangeStep();
    });
    AddTask(
      "registration", kRegistrationCheckInterval, [this] { RegisterStep(); });
    AddTask("credentials", kCredentialReloadInterval, [this] {
      mCredentials->Reload();
    });
  }

  /// Waits until the queued claim writes are done, for at most
  /// kClaimFlushTimeout.
  void FlushClaims()
  {
    const TimePoint until = mClock.Now() + kClaimFlushTimeout;
    while (mClaimWriter.PendingCount() > 0 && mClock.Now() < until) {
      std::this_thread::sleep_for(kStopPollInterval);
    }
  }

  /// Waits until no request has been in progress or queued for a thread for
  /// kStopIdlePeriod, so that requests already in transit are served too.
  void WaitUntilIdle()
  {
    TimePoint idleSince = mClock.Now();
    while (mClock.Now() - idleSince < kStopIdlePeriod) {
      std::this_thread::sleep_for(kStopPollInterval);
      if (mActiveRequests > 0 || mCallerServer->CountWaiting() > 0) {
        idleSince = mClock.Now();
      }
    }
  }

  /// Closes idle connections, and waits until responses in progress are sent.
  void CloseCallerConnections()
  {
    const bool cutsRequests = false;
    mCallerServer->Close(cutsRequests);
    while (mCallerServer->CountConnections() > 0) {
      std::this_thread::sleep_for(kStopPollInterval);
    }
  }

  const Settings mSettings;
  const std::shared_ptr<Credentials> mCredentials;
  const SystemClock mClock;
  const Member mSelf;
  Metrics mMetrics;
  HttpClient mClient;
  HttpPlatform mPlatform;
  HttpClient mPeerClient;
  PeerClient mPeers;
  ViewWatcher mViews;
  VmList mVms;
  HeartbeatMonitor mHeartbeats;
  ConfigAgent mConfig;
  ConfigCoordinator mCoordinator;
  ConfigFollower mFollower;
  ProbeTable mProbes;
  EngineClient mEngines;
  Prober mProber;
  SliceReportExchange mReportExchange;
  std::array<SliceReportExchange::Source, kMaxFullMeshMembers - 1>
    mReportSources;
  GroupManager mGroupManager;
  GroupMetrics mGroupMetrics;
  SessionPool mSessions;
  InFlightTable mInFlight;
  ClaimWriter mClaimWriter;
  ClaimStore mClaims;
  TargetLimits mLimits;
  ClaimSweeper mClaimSweeper;
  HealthTable mHealth;
  TargetFinder mTargets;
  AccountLimits mAccounts;
  DemandTable mDemand;
  AdmissionController mAdmission;
  RetryBudgets mRetries;
  Dispatcher mDispatcher;
  RpcServer mPeerMethods;
  RpcServer mOperatorMethods;
  std::atomic<bool> mStopping{ false };
  std::atomic<uint32_t> mActiveRequests{ 0 };
  bool mStoreLost = false;
  std::optional<Poco::ThreadPool> mCallerThreads;
  std::optional<Poco::ThreadPool> mPeerThreads;
  std::optional<HttpServer> mPeerServer;
  std::optional<HttpServer> mCallerServer;
  std::vector<PeriodicTask> mTasks;
};

Node::Node(Settings aSettings, std::shared_ptr<Credentials> aCredentials)
  : mImpl(std::make_unique<Impl>(std::move(aSettings), std::move(aCredentials)))
{
}

Node::~Node() = default;

Result<void>
Node::Start()
{
  BOOST_OUTCOME_TRY(mImpl->Open());
  mImpl->StartTasks();
  LogEvent(EventId::NodeStarted,
           { { "node", mImpl->mSelf.mId },
             { "incarnation", mImpl->mSelf.mIncarnation },
             { "callers", ToString(mImpl->mSettings.mCallerListen) },
             { "peers", ToString(mImpl->mSettings.mPeerListen) } });
  return boost::outcome_v2::success();
}

void
Node::Stop()
{
  LogEvent(EventId::NodeStopping, { { "node", mImpl->mSelf.mId } });
  mImpl->mStopping = true;
  const TimePoint delayUntil =
    mImpl->mClock.Now() + mImpl->mSettings.mShutdownDelay;
  (void)DeregisterMember(mImpl->mPlatform, mImpl->mSelf);
  while (mImpl->mClock.Now() < delayUntil) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
  mImpl->WaitUntilIdle();
  mImpl->CloseCallerConnections();
  const bool cutsRequests = true;
  mImpl->mPeerServer->Close(cutsRequests);
  mImpl->FlushClaims();
  mImpl->mTasks.clear();
  LogEvent(EventId::NodeStopped, { { "node", mImpl->mSelf.mId } });
}

} // namespace hibiscushold
