#include "fleet/formation.h"

#include "observe/events.h"

#include <algorithm>
#include <cmath>

namespace hibiscushold {

namespace {

/// Part of the VMs that is kept back for repairs. Spares that hold a model
/// join in about a second, others need a load of many seconds.
constexpr double kReserve = 0.2;
/// Loads start at this part of the common rate, which also covers those of an
/// earlier planner.
constexpr double kLoadPart = 0.8;
constexpr auto kLoadWindow = seconds(5);
/// A join takes longer than its model states by this factor and time.
constexpr double kJoinFactor = 1.5;
constexpr auto kJoinMargin = milliseconds(1500);
/// Loads before the first request take this part of their time.
constexpr double kEarlyLoadPart = 0.1;
constexpr auto kOrderAgain = milliseconds(450);

/// What it takes a VM to join a group of a model.
enum class JoinCost
{
  Again, ///< it served the model last
  Warm,  ///< the model is on its host
  Load,  ///< it has to be loaded
};

struct FreeVm
{
  std::string mId;
  JoinCost mCost = JoinCost::Load;
};

using FreeVms = std::map<std::string, std::vector<const FleetVm*>>;

class Formations
{
public:
  Formations(PlannerState& aState,
             const PlannerView& aView,
             const PlannerBounds& aBounds,
             TimePoint aNow,
             std::vector<FleetOrder>& aOrders)
    : mState(aState)
    , mView(aView)
    , mBounds(aBounds)
    , mNow(aNow)
    , mOrders(aOrders)
  {
  }

  void Run()
  {
    FindFree();
    CountGroups();
    while (FormOne()) {
    }
    // Before the first request, groups that serve come first.
    if (!mView.mBeforeTraffic || AreAllWantedFormed()) {
      ReadySpares();
    }
  }

private:
  void FindFree()
  {
    std::set<std::string> taken;
    for (const auto& [key, group] : mState.mGroups) {
      taken.insert(group.mMembers.begin(), group.mMembers.end());
    }
    for (const auto& [id, vm] : mView.mVms) {
      if (vm.mService != mView.mService || vm.mState != VmState::Live) {
        continue;
      }
      const VmBelief& belief = mState.mVms[id];
      if (belief.mSilentUntil > mNow) {
        continue;
      }
      ++mLive;
      ++mLiveIn[vm.mDomain];
      if (!taken.contains(id) && belief.mLockedUntil <= mNow) {
        mFree[vm.mDomain].push_back(&vm);
      }
    }
  }

  void CountGroups()
  {
    for (const auto& [key, group] : mState.mGroups) {
      const FleetModel* model = mView.mEngine.FindModel(group.mModel);
      const bool counts = group.mStage == GroupStage::Forming ||
                          group.mStage == GroupStage::Serving;
      if (model != nullptr && counts &&
          group.mMembers.size() == model->mSize) {
        ++mGroups[group.mModel];
        ++mGroupsIn[{ group.mDomain, group.mModel }];
      }
    }
  }

  bool AreAllWantedFormed()
  {
    return std::all_of(mView.mEngine.mModels.begin(),
                       mView.mEngine.mModels.end(),
                       [this](const FleetModel& it) {
                         return mGroups[it.mName] >=
                                WantedGroups(it, mView.mEngine, mLive);
                       });
  }

  JoinCost CostOf(const FleetVm& aVm, const std::string& aModel) const
  {
    const auto belief = mState.mVms.find(aVm.mId);
    const bool staged =
      std::find(aVm.mStaged.begin(), aVm.mStaged.end(), aModel) !=
      aVm.mStaged.end();
    if (staged && belief->second.mLastModel == aModel) {
      return JoinCost::Again;
    }
    return staged ? JoinCost::Warm : JoinCost::Load;
  }

  /// @return free VMs of the domain, the quickest to join first
  std::vector<FreeVm> Ranked(const std::string& aDomain,
                             const std::string& aModel) const
  {
    std::vector<FreeVm> ranked;
    const auto found = mFree.find(aDomain);
    if (found == mFree.end()) {
      return ranked;
    }
    for (const FleetVm* it : found->second) {
      ranked.push_back({ it->mId, CostOf(*it, aModel) });
    }
    std::stable_sort(
      ranked.begin(), ranked.end(), [](const FreeVm& aL, const FreeVm& aR) {
        return aL.mCost < aR.mCost;
      });
    return ranked;
  }

  /// @return loads that may start now
  size_t LoadsAllowed()
  {
    const size_t running = static_cast<size_t>(
      std::count_if(mState.mVms.begin(), mState.mVms.end(), [&](auto& it) {
        return it.second.mLoadingUntil > mNow;
      }));
    const size_t most = mView.mEngine.mLoadsAtOnce;
    const size_t free = most > running ? most - running : 0;
    if (mView.mBeforeTraffic) {
      return free;
    }
    while (!mState.mLoads.empty() &&
           mState.mLoads.front() + kLoadWindow < mNow) {
      mState.mLoads.pop_front();
    }
    const double rate = mView.mEngine.mLoadsPerSecond * kLoadPart;
    const auto inWindow =
      static_cast<size_t>(rate * static_cast<double>(kLoadWindow.count()));
    const size_t left =
      inWindow > mState.mLoads.size() ? inWindow - mState.mLoads.size() : 0;
    return std::min(free, left);
  }

  struct Option
  {
    const FleetModel* mModel = nullptr;
    std::string mDomain;
    std::vector<FreeVm> mVms;
    size_t mLoads = 0;
    double mRank = 0; ///< lower is better
  };

  /// @return whether a group was formed
  bool FormOne()
  {
    std::optional<Option> best;
    for (const FleetModel& model : mView.mEngine.mModels) {
      const size_t wanted = WantedGroups(model, mView.mEngine, mLive);
      const double filled = static_cast<double>(mGroups[model.mName]) /
                            static_cast<double>(std::max<size_t>(wanted, 1));
      for (const auto& [domain, vms] : mFree) {
        const size_t spares =
          filled < 1 ? 0 : mView.mEngine.mModels.size();
        if (vms.size() < model.mSize + spares) {
          continue;
        }
        Option option = MakeOption(model, domain, filled);
        if (option.mLoads > 0 && LoadsAllowed() == 0) {
          continue;
        }
        if (!best || option.mRank < best->mRank) {
          best = std::move(option);
        }
      }
    }
    if (!best) {
      return false;
    }
    Form(*best);
    return true;
  }

  Option MakeOption(const FleetModel& aModel,
                    const std::string& aDomain,
                    double aFilled)
  {
    Option option{ &aModel, aDomain, Ranked(aDomain, aModel.mName), 0, 0 };
    option.mVms.resize(aModel.mSize);
    for (const FreeVm& it : option.mVms) {
      option.mLoads += it.mCost == JoinCost::Load ? 1 : 0;
    }
    const double wait = option.mLoads > 0 ? 1 : 0;
    const bool hasOne = mGroupsIn[{ aDomain, aModel.mName }] > 0;
    const size_t rest = mFree[aDomain].size() - aModel.mSize;
    // What is quick goes first, then the model that lacks most, then domains
    // without the model, then the ones with most room.
    option.mRank = wait * 100 + (aFilled >= 1 ? 50 : 0) + aFilled * 10 +
                   (hasOne ? 3 : 0) + (rest == 0 ? 0.5 : 0) +
                   static_cast<double>(option.mLoads) * 0.1 -
                   static_cast<double>(rest) * 0.01;
    return option;
  }

  void Form(const Option& aOption)
  {
    std::vector<std::string> members;
    for (const FreeVm& it : aOption.mVms) {
      members.push_back(it.mId);
    }
    OrderJoins(*aOption.mModel, aOption.mDomain, members, aOption.mLoads);
    for (const FreeVm& it : aOption.mVms) {
      NoteCost(it, *aOption.mModel);
      Take(aOption.mDomain, it.mId);
    }
    ++mGroups[aOption.mModel->mName];
    ++mGroupsIn[{ aOption.mDomain, aOption.mModel->mName }];
  }

  void Take(const std::string& aDomain, const std::string& aVmId)
  {
    std::erase_if(mFree[aDomain],
                  [&](const FleetVm* it) { return it->mId == aVmId; });
  }

  Duration LoadTime(const FleetModel& aModel) const
  {
    const double part = mView.mBeforeTraffic ? kEarlyLoadPart : 1;
    return std::chrono::duration_cast<Duration>(aModel.mLoad * part);
  }

  void NoteCost(const FreeVm& aVm, const FleetModel& aModel)
  {
    if (aVm.mCost != JoinCost::Load) {
      return;
    }
    mState.mVms[aVm.mId].mLoadingUntil = mNow + LoadTime(aModel);
    if (!mView.mBeforeTraffic) {
      mState.mLoads.push_back(mNow);
    }
  }

  void OrderJoins(const FleetModel& aModel,
                  const std::string& aDomain,
                  const std::vector<std::string>& aMembers,
                  size_t aLoads)
  {
    const uint64_t epoch = ++mState.mLastEpoch;
    const GroupKey key{ "g" + std::to_string(epoch), epoch };
    const Duration join = aModel.mWarm + (aLoads > 0 ? LoadTime(aModel) * 2
                                                     : Duration::zero());
    const Duration limit =
      std::chrono::duration_cast<Duration>(join * kJoinFactor) + kJoinMargin;
    mState.mGroups.emplace(key,
                           PlannedGroup{ aModel.mName,
                                         aDomain,
                                         aMembers,
                                         GroupStage::Forming,
                                         mNow + limit,
                                         mNow + kOrderAgain });
    for (const std::string& it : aMembers) {
      mOrders.push_back({ OrderKind::Join,
                          it,
                          mState.mVms[it].mAddress,
                          key,
                          aModel.mName,
                          aMembers,
                          mState.mFence });
    }
    LogEvent(EventId::FleetGroupChanged,
             { { "group", key.mName },
               { "epoch", std::to_string(epoch) },
               { "model", aModel.mName },
               { "domain", aDomain },
               { "head", aMembers[0] },
               { "change", aMembers.size() == aModel.mSize ? "forming" : "spare" },
               { "loads", std::to_string(aLoads) } });
  }

  /// A spare sits alone in a group that never opens, so that it can join the
  /// next one at once.
  void ReadySpares()
  {
    for (auto& [domain, vms] : mFree) {
      std::map<std::string, size_t> held;
      for (const FleetVm* it : vms) {
        const std::string& last = mState.mVms[it->mId].mLastModel;
        held[last] += last.empty() ? 0 : 1;
      }
      const std::vector<const FleetVm*> spares = vms;
      for (const FleetVm* it : spares) {
        if (mState.mVms[it->mId].mLastModel.empty()) {
          ReadySpare(*it, held);
        }
      }
    }
  }

  void ReadySpare(const FleetVm& aVm, std::map<std::string, size_t>& aHeld)
  {
    const FleetModel* model = nullptr;
    for (const FleetModel& it : mView.mEngine.mModels) {
      const bool staged = CostOf(aVm, it.mName) != JoinCost::Load;
      if (staged || model == nullptr || aHeld[it.mName] < aHeld[model->mName]) {
        model = &it;
      }
      if (staged) {
        break;
      }
    }
    if (model == nullptr || model->mSize < 2) {
      return;
    }
    const FreeVm vm{ aVm.mId, CostOf(aVm, model->mName) };
    const bool load = vm.mCost == JoinCost::Load;
    // An early load keeps its speed however many run.
    if (load && !mView.mBeforeTraffic && LoadsAllowed() == 0) {
      return;
    }
    OrderJoins(*model, aVm.mDomain, { aVm.mId }, load ? 1 : 0);
    NoteCost(vm, *model);
    Take(aVm.mDomain, aVm.mId);
    ++aHeld[model->mName];
  }

  PlannerState& mState;
  const PlannerView& mView;
  const PlannerBounds& mBounds;
  const TimePoint mNow;
  std::vector<FleetOrder>& mOrders;
  FreeVms mFree; ///< by domain
  size_t mLive = 0;
  std::map<std::string, size_t> mLiveIn;
  std::map<std::string, size_t> mGroups; ///< forming and serving, by model
  std::map<std::pair<std::string, std::string>, size_t> mGroupsIn;
};

} // namespace

size_t
WantedGroups(const FleetModel& aModel, const EngineSpec& aEngine, size_t aLiveVms)
{
  double shares = 0;
  for (const FleetModel& it : aEngine.mModels) {
    shares += it.mShare;
  }
  const double vms = static_cast<double>(aLiveVms) * (1 - kReserve) *
                     aModel.mShare / std::max(shares, 1e-9);
  return std::max<size_t>(
    1, static_cast<size_t>(std::lround(vms / aModel.mSize)));
}

void
PlanFormations(PlannerState& aState,
               const PlannerView& aView,
               const PlannerBounds& aBounds,
               TimePoint aNow,
               std::vector<FleetOrder>& aOrders)
{
  Formations(aState, aView, aBounds, aNow, aOrders).Run();
}

} // namespace hibiscushold
