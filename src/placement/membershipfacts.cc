#include "placement/membershipfacts.h"

namespace hibiscushold {

namespace {

bool
IsDone(OrderOutcome aOutcome)
{
  return aOutcome == OrderOutcome::Accepted ||
         aOutcome == OrderOutcome::AlreadyDone;
}

/// @return whether the entry is from before the head was opened
bool
ShowsBeforeOpening(const MembershipFacts& aFacts,
                   const GroupMembership& aListed)
{
  const auto phase = aFacts.mGroup->mPhase;
  const bool serves =
    phase == MembershipPhase::Open || phase == MembershipPhase::Closing;
  return serves && aFacts.mClosed != aListed.mKey &&
         (aListed.mPhase == MembershipPhase::Joining ||
          aListed.mPhase == MembershipPhase::Ready);
}

void
RecordDone(MembershipFacts& aFacts, const FleetOrder& aOrder)
{
  const bool isIn = aFacts.mGroup && aFacts.mGroup->mKey == aOrder.mGroup;
  if (aOrder.mKind == OrderKind::Leave && isIn) {
    aFacts.mLeft = aOrder.mGroup;
    aFacts.mGroup.reset();
  } else if (aOrder.mKind == OrderKind::Join) {
    // The entry tells when the VM has begun to join.
    if (aFacts.mGroup && !isIn) {
      aFacts.mLeft = aFacts.mGroup->mKey;
      aFacts.mGroup.reset();
    }
    aFacts.mIsProven = true;
  } else if (aOrder.mKind == OrderKind::Close) {
    aFacts.mClosed = aOrder.mGroup;
  }
}

} // namespace

MembershipFacts
FactsOfNewVm()
{
  MembershipFacts facts;
  facts.mIsProven = true;
  facts.mOrderCount = 0;
  return facts;
}

void
RecordEntry(MembershipFacts& aFacts, const FleetVm& aVm)
{
  const std::optional<GroupMembership>& listed = aVm.mMembership;
  aFacts.mIsDoubted = false;
  if (!aFacts.mGroup) {
    // The entry may not show yet that the VM has left.
    if (!listed || listed->mKey != aFacts.mLeft) {
      aFacts.mGroup = listed;
    }
    return;
  }
  const GroupKey& known = aFacts.mGroup->mKey;
  aFacts.mIsDoubted =
    !listed || listed->mKey < known ||
    (listed->mKey == known && ShowsBeforeOpening(aFacts, *listed));
  if (!aFacts.mIsDoubted) {
    aFacts.mGroup = listed;
  }
}

void
RecordOrder(MembershipFacts& aFacts,
            const FleetOrder& aOrder,
            OrderOutcome aOutcome)
{
  aFacts.mOrderCount.reset();
  if (IsDone(aOutcome)) {
    aFacts.mIsFenced = true;
    RecordDone(aFacts, aOrder);
  } else if (aOutcome == OrderOutcome::NoResponse) {
    aFacts.mIsProven = aFacts.mIsProven && aFacts.mIsFenced;
  } else {
    aFacts.mIsProven = false;
  }
}

void
RecordReport(MembershipFacts& aFacts, const EngineReport& aReport)
{
  aFacts.mGroup = aReport.mMembership;
  aFacts.mIsProven = true;
  aFacts.mOrderCount = aReport.mOrderCount;
  aFacts.mAskSince = {};
}

} // namespace hibiscushold
