#include "groups/copyallocation.h"

#include "groups/warmmodels.h"

#include <algorithm>
#include <set>

namespace hibiscushold {

namespace {

bool
IsActive(const Group& aGroup)
{
  return aGroup.mPhase == GroupPhase::Forming ||
         aGroup.mPhase == GroupPhase::Serving;
}

/// Number of free VMs by domain and pool.
using FreeCounts = std::map<std::string, std::map<std::string, uint32_t>>;

FreeCounts
CountFreeVms(std::span<const Vm> aVms,
             const std::map<std::string, Domain>& aDomains)
{
  std::set<std::string> used;
  for (const auto& [name, domain] : aDomains) {
    for (const Group& group : domain.mGroups) {
      for (const GroupMember& it : group.mMembers) {
        used.insert(it.mVm);
      }
    }
  }
  FreeCounts free;
  for (const Vm& it : aVms) {
    const bool usable = it.mState == VmState::Live && !used.contains(it.mId);
    free[it.mDomain][it.mPool] += usable ? 1 : 0;
  }
  return free;
}

uint32_t
CountActiveCopies(const Domain& aDomain, const std::string& aRule)
{
  return static_cast<uint32_t>(std::count_if(
    aDomain.mGroups.begin(), aDomain.mGroups.end(), [&](const Group& aGroup) {
      return aGroup.mRule == aRule && IsActive(aGroup);
    }));
}

/// Incarnations by VM id.
using IncarnationsById = std::map<std::string, std::string>;

/// @param aRemaining the listed VMs that are not leaving
/// @return whether the group should be dropped before others: its model or
///         size differs from the rule's, or one of its VMs is leaving, has
///         restarted or is gone
bool
IsStale(const Group& aGroup,
        const GroupRule& aRule,
        const IncarnationsById& aRemaining)
{
  return aGroup.mModel != aRule.mModel ||
         aGroup.mMembers.size() != aRule.mVmsPerCopy ||
         std::any_of(
           aGroup.mMembers.begin(), aGroup.mMembers.end(), [&](auto& it) {
             const auto vm = aRemaining.find(it.mVm);
             return vm == aRemaining.end() || vm->second != it.mIncarnation;
           });
}

class CopyAllocator
{
public:
  CopyAllocator(const Rules& aRules,
                std::span<const Vm> aVms,
                const std::map<std::string, Domain>& aDomains,
                int64_t aWallMillis)
    : mRules(aRules)
    , mFree(CountFreeVms(aVms, aDomains))
    , mDomains(aDomains)
    , mWallMillis(aWallMillis)
  {
    for (const Vm& it : aVms) {
      if (it.mState != VmState::Leaving) {
        mRemaining[it.mId] = it.mIncarnation;
      }
    }
  }

  std::map<std::string, CopyCounts> Run()
  {
    for (const GroupRule& it : mRules.mGroups) {
      KeepExisting(it);
    }
    for (const GroupRule& it : mRules.mGroups) {
      while (!MayAddExtraCopies(it) && mTotals[it.mName] > it.mCopies) {
        RemoveCopy(it);
      }
    }
    for (const GroupRule& it : mRules.mGroups) {
      while (mTotals[it.mName] < it.mCopies &&
             (AddCopy(it) || ReplaceExtraCopy(it))) {
      }
    }
    for (const GroupRule& it : mRules.mGroups) {
      while (MayAddExtraCopies(it) && AddCopy(it)) {
      }
    }
    return std::move(mCounts);
  }

private:
  /// @return whether idle VMs may become copies beyond the rule's number
  bool MayAddExtraCopies(const GroupRule& aRule) const
  {
    return CapacityGoalAt(mRules, aRule, mWallMillis) ==
           CapacityGoal::MinimizeStranded;
  }

  /// Counts the active copies of a rule in each domain. Copies in a domain
  /// without listed VMs don't count towards the total, so that they are
  /// replaced in other domains.
  void KeepExisting(const GroupRule& aRule)
  {
    for (const auto& [name, domain] : mDomains) {
      const bool unlisted = !mFree.contains(name);
      const uint32_t n = CountActiveCopies(domain, aRule.mName);
      mCounts[name][aRule.mName] = n;
      mTotals[aRule.mName] += unlisted ? 0 : n;
    }
  }

  /// Removes a copy from a domain that has a stale one, else from the domain
  /// with the fewest free VMs, as that domain is the fullest.
  void RemoveCopy(const GroupRule& aRule)
  {
    std::string best;
    bool bestStale = false;
    for (const auto& [name, counts] : mCounts) {
      const auto it = counts.find(aRule.mName);
      if (it == counts.end() || it->second == 0 || !mFree.contains(name)) {
        continue;
      }
      const bool stale = HasStaleCopy(name, aRule);
      const bool fewer =
        stale == bestStale &&
        (best.empty() || mFree[name][aRule.mPool] < mFree[best][aRule.mPool]);
      if (best.empty() || (stale && !bestStale) || fewer) {
        best = name;
        bestStale = stale;
      }
    }
    --mCounts[best][aRule.mName];
    --mTotals[aRule.mName];
  }

  bool HasStaleCopy(const std::string& aDomain, const GroupRule& aRule) const
  {
    const auto it = mDomains.find(aDomain);
    return it != mDomains.end() &&
           std::any_of(it->second.mGroups.begin(),
                       it->second.mGroups.end(),
                       [&](const Group& aGroup) {
                         return aGroup.mRule == aRule.mName &&
                                IsActive(aGroup) &&
                                IsStale(aGroup, aRule, mRemaining);
                       });
  }

  bool AddCopy(const GroupRule& aRule)
  {
    std::string best;
    for (auto& [name, pools] : mFree) {
      const uint32_t n = pools[aRule.mPool];
      if (n >= aRule.mVmsPerCopy &&
          (best.empty() || n > mFree[best][aRule.mPool])) {
        best = name;
      }
    }
    if (best.empty()) {
      return false;
    }
    mFree[best][aRule.mPool] -= aRule.mVmsPerCopy;
    ++mCounts[best][aRule.mName];
    ++mTotals[aRule.mName];
    return true;
  }

  /// Removes a copy of the rule with the most extra copies and adds one of
  /// aRule, since copies beyond a rule's number are worth least.
  /// @return whether a copy of aRule was added
  bool ReplaceExtraCopy(const GroupRule& aRule)
  {
    const GroupRule* replaced = nullptr;
    uint32_t mostExtra = 0;
    for (const GroupRule& it : mRules.mGroups) {
      const uint32_t total = mTotals[it.mName];
      const uint32_t extra = total > it.mCopies ? total - it.mCopies : 0;
      if (it.mPool == aRule.mPool && it.mVmsPerCopy >= aRule.mVmsPerCopy &&
          extra > mostExtra) {
        replaced = &it;
        mostExtra = extra;
      }
    }
    if (replaced == nullptr) {
      return false;
    }
    const std::map<std::string, CopyCounts> before = mCounts;
    RemoveCopy(*replaced);
    for (auto& [name, counts] : mCounts) {
      const auto it = before.at(name).find(replaced->mName);
      if (it != before.at(name).end() && it->second > counts[replaced->mName]) {
        mFree[name][replaced->mPool] += replaced->mVmsPerCopy;
      }
    }
    return AddCopy(aRule);
  }

  const Rules& mRules;
  FreeCounts mFree;
  const std::map<std::string, Domain>& mDomains;
  const int64_t mWallMillis;
  IncarnationsById mRemaining;
  std::map<std::string, uint32_t> mTotals;
  std::map<std::string, CopyCounts> mCounts;
};

} // namespace

std::map<std::string, CopyCounts>
AllocateCopies(const Rules& aRules,
               std::span<const Vm> aVms,
               const std::map<std::string, Domain>& aDomains,
               int64_t aWallMillis)
{
  return CopyAllocator(aRules, aVms, aDomains, aWallMillis).Run();
}

} // namespace hibiscushold
