#include "placement/suspects.h"

#include "fleet/targetchoice.h"

namespace hibiscushold {

namespace {

/// The planner probes the members of a group once its head shows no progress
/// for these times.
constexpr StallLimits kSuspicionLimits{ milliseconds(200),
                                        milliseconds(250),
                                        milliseconds(450) };

bool
IsStalling(const PlannedGroup& aGroup,
           const EngineSpec& aEngine,
           const TargetLoad& aLoad,
           TimePoint aNow)
{
  const FleetModel* model = aEngine.FindModel(aGroup.mModel);
  return IsStalled(aLoad, aNow, kSuspicionLimits) ||
         EndOfAvoidance(aLoad) > aNow + kProbeInterval ||
         (model != nullptr &&
          IsSilentToAllNodes(aEngine.TimesOf(*model), aLoad, aNow));
}

void
AddControls(const PlannerState& aState,
            TimePoint aNow,
            std::set<std::string>& aToProbe)
{
  if (SummarizeCalls(aState, aNow).mMissing < kManyMissing) {
    return;
  }
  const size_t step = aState.mVms.size() / kControlCalls + 1;
  size_t n = 0;
  for (const auto& [id, vm] : aState.mVms) {
    if (n++ % step == 0) {
      aToProbe.insert(id);
    }
  }
}

} // namespace

CallSummary
SummarizeCalls(const PlannerState& aState, TimePoint aNow)
{
  CallSummary summary;
  for (const auto& [id, vm] : aState.mVms) {
    Summarize(vm.mSilence, aNow, summary);
  }
  return summary;
}

std::set<std::string>
FindSuspects(const PlannerState& aState,
             const EngineSpec& aEngine,
             const FleetVms& aVms,
             const TargetLoads& aLoads,
             TimePoint aNow)
{
  std::set<std::string> suspects;
  for (const auto& [key, group] : aState.mGroups) {
    if (group.mStage != GroupStage::Serving) {
      continue;
    }
    const TargetLoad load = aLoads.Get(group.mMembers[0]);
    const bool isStalling = IsStalling(group, aEngine, load, aNow);
    for (const std::string& it : group.mMembers) {
      if (isStalling || IsLapsed(FindVm(aVms, it))) {
        suspects.insert(it);
      }
    }
  }
  for (const auto& [id, vm] : aState.mVms) {
    if (IsInDoubt(vm.mSilence, aNow)) {
      suspects.insert(id);
    }
  }
  AddControls(aState, aNow, suspects);
  return suspects;
}

} // namespace hibiscushold
