#include "fleet/formation.h"

#include "observe/events.h"

#include <algorithm>
#include <cmath>

namespace hibiscushold {

namespace {

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
/// One more load weighs as much as this part of a model's share.
constexpr double kLoadCost = 0.2;
/// Spares that a domain should hold for each VM that serves the model there.
constexpr double kSparePart = 0.1;
/// Separates loads of different purposes; more than all loads of a group.
constexpr double kSpareRank = 100;
/// No new VM for so long means that all have appeared.
constexpr auto kSettleTime = milliseconds(700);

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
             TimePoint aNow,
             std::vector<FleetOrder>& aOrders)
    : mState(aState)
    , mView(aView)
    , mNow(aNow)
    , mOrders(aOrders)
  {
  }

  void Run()
  {
    FindFree();
    // VMs appear one after the other at the first start. Groups that are laid
    // out when all are there leave the fewest over.
    if (mView.mBeforeTraffic && !HaveAllAppeared()) {
      return;
    }
    while (FormOne()) {
    }
    LoadSpares();
  }

private:
  void FindFree()
  {
    std::set<std::string> taken;
    for (const auto& [key, group] : mState.mGroups) {
      if (group.mMembers.size() > 1) {
        mServing[group.mModel] += 1;
        mModelsIn[group.mDomain].insert(group.mModel);
        ++mGroupsIn[{ group.mDomain, group.mModel }];
      } else {
        ++mLoadingIn[{ group.mDomain, group.mModel }];
      }
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
      const bool serves = vm.mSeat && vm.mSeat->mRank == 0 &&
                          (vm.mSeat->mPhase == GroupPhase::Open ||
                           vm.mSeat->mPhase == GroupPhase::Closing);
      if (!taken.contains(id) && !serves &&
          !IsLocked(mState, mView.mVms, id, mNow)) {
        mFree[vm.mDomain].push_back(&vm);
      }
    }
  }

  /// A spare that joins without a load may be called up for a group.
  bool IsWarmingSpare(const PlannedGroup& aGroup) const
  {
    const auto belief = mState.mVms.find(aGroup.mMembers[0]);
    return aGroup.mMembers.size() == 1 &&
           aGroup.mStage == GroupStage::Forming &&
           belief != mState.mVms.end() &&
           belief->second.mLoadingUntil == TimePoint{};
  }

  /// @return VMs that serve the model, relative to its share of the VMs
  double FilledBy(const FleetModel& aModel) const
  {
    const auto serving = mServing.find(aModel.mName);
    const double groups = serving == mServing.end() ? 0 : serving->second;
    return groups * aModel.mSize /
           std::max(aModel.mShare * static_cast<double>(mLive), 1e-9);
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
    for (const auto& [domain, vms] : mFree) {
      for (const FleetModel& model : mView.mEngine.mModels) {
        if (vms.size() < model.mSize) {
          continue;
        }
        Option option = MakeOption(model, domain);
        if (MayForm(option) && (!best || option.mRank < best->mRank)) {
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

  /// Before the first request a load is a part of the join; later, spares are
  /// loaded one by one.
  bool MayForm(const Option& aOption)
  {
    return (aOption.mLoads == 0 || mView.mBeforeTraffic) &&
           LeavesSpares(aOption);
  }

  /// Groups of another model leave a domain the spares that its own want; a
  /// large group that lacks one VM strands all the others.
  bool LeavesSpares(const Option& aOption)
  {
    size_t spares = 0;
    for (const FleetModel& it : mView.mEngine.mModels) {
      if (&it != aOption.mModel) {
        spares += WantedSpares(aOption.mDomain, it);
      }
    }
    return mFree[aOption.mDomain].size() >= aOption.mModel->mSize + spares;
  }

  size_t WantedSpares(const std::string& aDomain, const FleetModel& aModel)
  {
    const size_t seats = mGroupsIn[{ aDomain, aModel.mName }] * aModel.mSize;
    return static_cast<size_t>(
      std::ceil(static_cast<double>(seats) * kSparePart));
  }

  bool HaveAllAppeared() const { return mNow >= mState.mNewVmAt + kSettleTime; }

  Option MakeOption(const FleetModel& aModel, const std::string& aDomain)
  {
    Option option{ &aModel, aDomain, Ranked(aDomain, aModel.mName), 0, 0 };
    option.mVms.resize(aModel.mSize);
    for (const FreeVm& it : option.mVms) {
      option.mLoads += it.mCost == JoinCost::Load ? 1 : 0;
    }
    // What is quick goes first, then the model that has least for its share.
    // A domain that serves one model leaves fewer VMs over than one that
    // serves several.
    const std::set<std::string>& models = mModelsIn[aDomain];
    const double mixed = models.contains(aModel.mName) ? 0
                         : models.empty()              ? 1
                                                       : 2;
    option.mRank =
      (option.mLoads > 0 ? 1e6 : 0) + FilledBy(aModel) * 1000 + mixed;
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
      const auto warming = mWarming.find(it.mId);
      if (warming != mWarming.end()) {
        mState.mDissolved[warming->second] = mNow;
        mState.mGroups.erase(warming->second);
      }
    }
    mServing[aOption.mModel->mName] += 1;
    mModelsIn[aOption.mDomain].insert(aOption.mModel->mName);
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
    const Duration join =
      aModel.mWarm + (aLoads > 0 ? LoadTime(aModel) * 2 : Duration::zero());
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
    LogEvent(
      EventId::FleetGroupChanged,
      { { "group", key.mName },
        { "epoch", std::to_string(epoch) },
        { "model", aModel.mName },
        { "domain", aDomain },
        { "head", aMembers[0] },
        { "change", aMembers.size() == aModel.mSize ? "forming" : "spare" },
        { "loads", std::to_string(aLoads) } });
  }

  /// A spare sits alone in a group that never opens, so that it can join the
  /// next one at once. Spares that hold no model, or one that completes no
  /// group, load the one that their domain needs most.
  void LoadSpares()
  {
    std::vector<Wanted> wanted;
    for (const auto& [domain, vms] : mFree) {
      AddWanted(domain, vms, wanted);
    }
    std::stable_sort(
      wanted.begin(), wanted.end(), [](const auto& aL, const auto& aR) {
        return aL.mCost < aR.mCost;
      });
    for (const Wanted& it : wanted) {
      ReadySpare(*it.mVm, *it.mModel);
    }
  }

  struct Wanted
  {
    double mCost = 0;
    const FleetModel* mModel = nullptr;
    const FleetVm* mVm = nullptr;
  };

  /// What a domain has of a model beside its groups.
  struct Stock
  {
    size_t mFree = 0;    ///< free VMs that hold it
    size_t mCovered = 0; ///< the same with those that load it
  };

  Stock StockOf(const std::string& aDomain,
                const std::vector<const FleetVm*>& aVms,
                const FleetModel& aModel)
  {
    Stock stock;
    for (const FleetVm* it : aVms) {
      stock.mFree += CostOf(*it, aModel.mName) != JoinCost::Load ? 1 : 0;
    }
    stock.mCovered = stock.mFree + mLoadingIn[{ aDomain, aModel.mName }];
    return stock;
  }

  void AddWanted(const std::string& aDomain,
                 const std::vector<const FleetVm*>& aVms,
                 std::vector<Wanted>& aWanted)
  {
    std::vector<const FleetVm*> empty;
    std::vector<const FleetVm*> holding;
    for (const FleetVm* it : aVms) {
      const FleetModel* model = HeldUnjoined(*it);
      if (model != nullptr && !mWarming.contains(it->mId)) {
        aWanted.push_back({ 0, model, it });
      }
      (it->mStaged.empty() ? empty : holding).push_back(it);
    }
    std::map<std::string, size_t> added;
    for (const FleetVm* it : empty) {
      const Wanted best = BestLoad(aDomain, aVms, added);
      if (best.mModel != nullptr) {
        ++added[best.mModel->mName];
        aWanted.push_back({ best.mCost, best.mModel, it });
      }
    }
    if (empty.empty()) {
      AddConversions(aDomain, aVms, holding, aWanted);
    }
  }

  /// A spare of another model is worth a load when few of them complete a
  /// group that many VMs wait for.
  void AddConversions(const std::string& aDomain,
                      const std::vector<const FleetVm*>& aVms,
                      const std::vector<const FleetVm*>& aHolding,
                      std::vector<Wanted>& aWanted)
  {
    for (const FleetModel& model : mView.mEngine.mModels) {
      const Stock stock = StockOf(aDomain, aVms, model);
      const size_t covered = stock.mCovered % model.mSize;
      const size_t lacking = model.mSize - covered;
      if (covered == 0 || lacking * 3 > model.mSize ||
          aHolding.size() - stock.mFree < lacking) {
        continue;
      }
      size_t n = 0;
      for (const FleetVm* it : aHolding) {
        if (n < lacking && CostOf(*it, model.mName) == JoinCost::Load) {
          ++n;
          aWanted.push_back(
            { kLoadCost * static_cast<double>(lacking) + FilledBy(model),
              &model,
              it });
        }
      }
      return;
    }
  }

  /// A domain first gets spares of the models that it serves, then what
  /// completes a group soonest or has least for its share.
  /// @param aAdded loads that this step has chosen already, by model
  Wanted BestLoad(const std::string& aDomain,
                  const std::vector<const FleetVm*>& aVms,
                  std::map<std::string, size_t>& aAdded)
  {
    Wanted best;
    for (const FleetModel& model : mView.mEngine.mModels) {
      if (model.mSize < 2) {
        continue;
      }
      const size_t covered =
        StockOf(aDomain, aVms, model).mCovered + aAdded[model.mName];
      const size_t spares = WantedSpares(aDomain, model);
      const size_t lacking = model.mSize - covered % model.mSize;
      // What lets idle VMs serve goes before what replaces the next loss.
      const bool completes = lacking == 1 && covered > 0;
      const double rank = completes          ? 0
                          : covered < spares ? kSpareRank
                                             : 2 * kSpareRank;
      const double cost =
        rank + static_cast<double>(lacking) * kLoadCost + FilledBy(model);
      if (best.mModel == nullptr || cost < best.mCost) {
        best = { cost, &model, nullptr };
      }
    }
    return best;
  }

  /// @return the model on the VM's host, when the VM did not serve it last
  const FleetModel* HeldUnjoined(const FleetVm& aVm) const
  {
    for (const FleetModel& it : mView.mEngine.mModels) {
      if (CostOf(aVm, it.mName) == JoinCost::Warm && it.mSize > 1) {
        return &it;
      }
    }
    return nullptr;
  }

  void ReadySpare(const FleetVm& aVm, const FleetModel& aModel)
  {
    const FreeVm vm{ aVm.mId, CostOf(aVm, aModel.mName) };
    const bool load = vm.mCost == JoinCost::Load;
    // An early load keeps its speed however many run.
    if (load && !mView.mBeforeTraffic && LoadsAllowed() == 0) {
      return;
    }
    OrderJoins(aModel, aVm.mDomain, { aVm.mId }, load ? 1 : 0);
    NoteCost(vm, aModel);
    Take(aVm.mDomain, aVm.mId);
  }

  PlannerState& mState;
  const PlannerView& mView;
  const TimePoint mNow;
  std::vector<FleetOrder>& mOrders;
  FreeVms mFree;                            ///< by domain
  std::map<std::string, GroupKey> mWarming; ///< spares that join, by VM
  size_t mLive = 0;
  std::map<std::pair<std::string, std::string>, size_t>
    mLoadingIn; ///< spares under way, by domain and model
  std::map<std::string, std::set<std::string>> mModelsIn; ///< by domain
  std::map<std::pair<std::string, std::string>, size_t>
    mGroupsIn;                            ///< by domain and model
  std::map<std::string, double> mServing; ///< groups of a model
};

} // namespace

void
PlanFormations(PlannerState& aState,
               const PlannerView& aView,
               TimePoint aNow,
               std::vector<FleetOrder>& aOrders)
{
  Formations(aState, aView, aNow, aOrders).Run();
}

} // namespace hibiscushold
