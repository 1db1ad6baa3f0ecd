#pragma once

#include "plannerworld.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hibiscushold {

/// Three zones of three domains of 19 VMs each, a wide model of eight VMs and a
/// narrow one of four, after the first plan. Loads take their time; what is
/// lost is chosen by the seed.
class LossyFleet
{
public:
  explicit LossyFleet(unsigned aSeed)
    : mRandom(aSeed)
  {
    mWorld.mEngine.mLoadsPerSecond = 14;
    mWorld.mEngine.mLoadsAtOnce = 21;
    mWorld.mEngine.mModels = {
      { "wide", 8, 0.5, 1, seconds(16), milliseconds(1600) },
      { "narrow", 4, 0.5, 0.6, seconds(12), milliseconds(1100) }
    };
    for (size_t n = 0; n < kDomains; ++n) {
      mWorld.Add(Domain(n), kDomainSize);
    }
    mWorld.mBeforeTraffic = true;
    mWorld.Step();
    mWorld.Settle();
    mWorld.mBeforeTraffic = false;
    mWorld.mLoadsNeverEnd = true;
  }

  size_t Groups(const char* aModel) const
  {
    return mWorld.OpenHeads(aModel).size();
  }

  /// Loses VMs of groups that serve in the zone, for good.
  void LoseMembers(size_t aZone, size_t aCount)
  {
    for (size_t n = 0; n < aCount; ++n) {
      std::vector<std::string> members;
      for (const char* model : { "wide", "narrow" }) {
        for (const std::string& head : mWorld.OpenHeads(model)) {
          const std::vector<std::string> group = mWorld.MembersOf(head);
          if (IsInZone(mWorld.mVms.at(head).mDomain, aZone)) {
            members.insert(members.end(), group.begin(), group.end());
          }
        }
      }
      if (!members.empty()) {
        Lose(members[mRandom() % members.size()]);
      }
    }
  }

  /// Loses all VMs of a domain, for good.
  void LoseDomain(size_t aDomain)
  {
    std::vector<std::string> ids;
    for (const auto& [id, vm] : mWorld.mVms) {
      if (vm.mDomain == Domain(aDomain)) {
        ids.push_back(id);
      }
    }
    for (const std::string& it : ids) {
      Lose(it);
    }
  }

  /// Cuts VMs off, which are no longer listed until EndCut().
  void CutOff(size_t aCount)
  {
    std::vector<std::string> ids;
    for (const auto& [id, vm] : mWorld.mVms) {
      ids.push_back(id);
    }
    for (size_t n = 0; n < aCount; ++n) {
      const auto it =
        ids.begin() + static_cast<ptrdiff_t>(mRandom() % ids.size());
      mCut[*it] = mWorld.mVms[*it];
      mCut[*it].mMembership.reset();
      Lose(*it);
      ids.erase(it);
    }
  }

  void EndCut()
  {
    for (const auto& [id, vm] : mCut) {
      mWorld.mVms[id] = vm;
      mWorld.mUnresponsive.erase(id);
      mWorld.Probe(id);
    }
    std::erase_if(mLost, [&](auto& it) { return mCut.contains(it.first); });
    mCut.clear();
  }

  /// Adds VMs without a model to domains of the zone.
  void AddEmpty(size_t aZone, size_t aCount)
  {
    for (size_t n = 0; n < aCount; ++n) {
      const std::string domain =
        Domain(aZone * kDomainsPerZone + mRandom() % kDomainsPerZone);
      FleetVm vm;
      vm.mId = "new-" + std::to_string(++mAdded);
      vm.mStartedMillis = 1;
      vm.mService = PlannerWorld::kService;
      vm.mAddress = { "10.0.0.2", static_cast<uint16_t>(1000 + mAdded) };
      vm.mDomain = domain;
      vm.mZone = "a";
      mWorld.mVms[vm.mId] = vm;
    }
  }

  /// Runs the planner for kStep and adds up the groups.
  void Step()
  {
    for (const auto& [id, until] : mLost) {
      if (mWorld.mNow < until) {
        mWorld.Probe(id);
      }
    }
    mWorld.Step(kStep);
    EndLoads();
    ++mSteps;
    mWide += Groups("wide");
    mNarrow += Groups("narrow");
  }

  double MeanWide() const
  {
    return static_cast<double>(mWide) / static_cast<double>(mSteps);
  }

  double MeanNarrow() const
  {
    return static_cast<double>(mNarrow) / static_cast<double>(mSteps);
  }

  static constexpr size_t kDomainsPerZone = 3;
  static constexpr size_t kDomains = 9;
  static constexpr size_t kDomainSize = 19;
  static constexpr auto kStep = milliseconds(100);

  PlannerWorld mWorld;

private:
  static std::string Domain(size_t aNumber)
  {
    return "d" + std::to_string(aNumber);
  }

  static bool IsInZone(const std::string& aDomain, size_t aZone)
  {
    for (size_t n = 0; n < kDomainsPerZone; ++n) {
      if (aDomain == Domain(aZone * kDomainsPerZone + n)) {
        return true;
      }
    }
    return false;
  }

  void Lose(const std::string& aId)
  {
    mWorld.mVms.erase(aId);
    mWorld.mUnresponsive.insert(aId);
    mLost.emplace_back(aId, mWorld.mNow + kProbedFor);
  }

  void EndLoads()
  {
    for (auto& [id, vm] : mWorld.mVms) {
      if (!vm.mMembership ||
          vm.mMembership->mPhase != MembershipPhase::Joining) {
        mLoadEnds.erase(id);
        continue;
      }
      const std::string model = vm.mMembership->mModel;
      const Duration time = mWorld.mEngine.FindModel(model)->mLoadTime;
      const auto end = mLoadEnds.try_emplace(id, mWorld.mNow + time).first;
      if (mWorld.mNow >= end->second) {
        vm.mStaged = { model };
        vm.mMembership->mPhase = MembershipPhase::Ready;
        mLoadEnds.erase(end);
      }
    }
  }

  static constexpr auto kProbedFor = seconds(4);

  std::mt19937 mRandom;
  std::vector<std::pair<std::string, TimePoint>> mLost; ///< probed until then
  std::map<std::string, TimePoint> mLoadEnds;
  FleetVms mCut;
  size_t mAdded = 0;
  size_t mSteps = 0;
  size_t mWide = 0;   ///< groups, summed over the steps
  size_t mNarrow = 0; ///< the same
};

} // namespace hibiscushold
