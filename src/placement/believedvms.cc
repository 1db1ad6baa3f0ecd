#include "placement/believedvms.h"

#include "observe/events.h"

namespace hibiscushold {

namespace {

/// Reports that have not arrived after this time are not waited for.
constexpr auto kProofTime = milliseconds(400);

/// @return the facts of a VM that is listed for the first time
MembershipFacts
FirstFacts(const PlannerState& aState,
           const PlannerView& aView,
           const FleetVm& aVm)
{
  const bool isNewVm = aState.mHasRun || aView.mBeforeTraffic;
  return isNewVm && !aVm.mMembership ? FactsOfNewVm() : MembershipFacts{};
}

/// @return the facts of a VM after a restart. Late orders may have put it back
///         into its group, and the start that is listed may not be the latest.
MembershipFacts
FactsAfterRestart(const MembershipFacts& aBefore)
{
  MembershipFacts facts;
  facts.mGroup = aBefore.mGroup;
  return facts;
}

void
LogDoubt(const FleetVm& aVm, const MembershipFacts& aFacts)
{
  LogEvent(
    EventId::MembershipDoubted,
    { { "vm", aVm.mId },
      { "group", aFacts.mGroup ? aFacts.mGroup->mKey.mName : "" },
      { "listed", aVm.mMembership ? aVm.mMembership->mKey.mName : "" } });
}

void
UpdateVm(PlannerState& aState,
         const PlannerView& aView,
         const FleetVm& aVm,
         TimePoint aNow)
{
  const auto [it, isNew] = aState.mVms.try_emplace(aVm.mId);
  PlannedVm& planned = it->second;
  planned.mListedMillis = aVm.mStartedMillis;
  if (planned.mStartedMillis < aVm.mStartedMillis) {
    const MembershipFacts facts = isNew ? FirstFacts(aState, aView, aVm)
                                        : FactsAfterRestart(planned.mFacts);
    planned = PlannedVm{};
    planned.mFacts = facts;
    planned.mStartedMillis = aVm.mStartedMillis;
    planned.mListedMillis = aVm.mStartedMillis;
    aState.mLastNewVmAt = aNow;
  }
  planned.mAddress = aVm.mAddress;
  if (HasModel(aVm, planned.mLoadingModel)) {
    planned.mLoadingModel.clear();
    planned.mLoadingUntil = {};
  }
  if (aVm.mMembership && aVm.mMembership->mPhase != MembershipPhase::Joining) {
    planned.mLastStartedModel = aVm.mMembership->mModel;
  }
  const bool wasDoubted = planned.mFacts.mIsDoubted;
  if (aVm.mStartedMillis < planned.mStartedMillis) {
    planned.mFacts.mIsDoubted = true;
  } else {
    RecordEntry(planned.mFacts, aVm);
  }
  if (planned.mFacts.mIsDoubted && !wasDoubted) {
    LogDoubt(aVm, planned.mFacts);
  }
}

} // namespace

void
UpdateVms(PlannerState& aState, const PlannerView& aView, TimePoint aNow)
{
  for (const auto& [id, vm] : aView.mVms) {
    if (vm.mService == aView.mService) {
      UpdateVm(aState, aView, vm, aNow);
    }
  }
  aState.mHasRun = true;
}

std::optional<FleetVms>
CorrectMemberships(const PlannerState& aState, const PlannerView& aView)
{
  std::optional<FleetVms> corrected;
  for (const auto& [id, vm] : aView.mVms) {
    const auto planned = aState.mVms.find(id);
    if (vm.mService != aView.mService || planned == aState.mVms.end() ||
        !planned->second.mFacts.mIsDoubted) {
      continue;
    }
    if (!corrected) {
      corrected = aView.mVms;
    }
    (*corrected)[id].mMembership = planned->second.mFacts.mGroup;
  }
  return corrected;
}

Availability
AvailabilityOf(const PlannerState& aState,
               const PlannerView& aView,
               const FleetVm& aVm,
               TimePoint aNow)
{
  const auto it = aState.mVms.find(aVm.mId);
  if (it == aState.mVms.end()) {
    return Availability::Unproven;
  }
  const PlannedVm& planned = it->second;
  if (aVm.mState != VmState::Live) {
    return Availability::Leaving;
  }
  if (IsUnresponsive(planned.mSilence, aNow)) {
    return Availability::Unresponsive;
  }
  if (IsInZoneOut(aView, aVm)) {
    return Availability::ZoneOut;
  }
  if (IsLapsed(&aVm)) {
    return Availability::Leaving;
  }
  if (IsServingHead(&aVm)) {
    return Availability::Serving;
  }
  if (IsInDoubt(planned.mSilence, aNow)) {
    return Availability::InDoubt;
  }
  // The plan may lack a member whose entry appeared later.
  const auto group = aVm.mMembership
                       ? aState.mGroups.find(aVm.mMembership->mKey)
                       : aState.mGroups.end();
  if (group != aState.mGroups.end() && group->second.mMembers.size() > 1) {
    return Availability::InGroup;
  }
  if (IsLocked(aState, aView.mVms, aVm.mId, aNow)) {
    return Availability::Locked;
  }
  if (planned.mFacts.mIsDoubted) {
    return Availability::Doubted;
  }
  return planned.mFacts.mIsProven ? Availability::Free : Availability::Unproven;
}

bool
AskForProof(PlannerState& aState,
            const std::string& aVmId,
            PlannerStep& aStep,
            TimePoint aNow)
{
  MembershipFacts& facts = aState.mVms[aVmId].mFacts;
  if (facts.mAskSince == TimePoint{}) {
    facts.mAskSince = aNow;
  }
  aStep.mToAsk.insert(aVmId);
  return aNow < facts.mAskSince + kProofTime;
}

bool
AskForHead(PlannerState& aState,
           const PlannerView& aView,
           const ObservedGroup& aGroup,
           PlannerStep& aStep,
           TimePoint aNow)
{
  bool awaitsReport = false;
  for (const auto& [id, vm] : aView.mVms) {
    if (vm.mService == aView.mService && vm.mDomain == aGroup.mDomain &&
        !vm.mMembership &&
        AvailabilityOf(aState, aView, vm, aNow) == Availability::Unproven) {
      awaitsReport |= AskForProof(aState, id, aStep, aNow);
    }
  }
  return awaitsReport;
}

} // namespace hibiscushold
