#include "config/acceptance.h"

#include <algorithm>

namespace hibiscushold {

AcceptanceDecision
DecideAcceptance(const AcceptanceState& aState, TimePoint aNow)
{
  AcceptanceDecision decision;
  TimePoint lastAck = aState.mProposedAt;
  bool refused = false;
  for (const MemberAck& it : aState.mAcks) {
    refused = refused || it.mRefused;
    if (it.mAckedAt) {
      lastAck = std::max(lastAck, *it.mAckedAt);
    } else {
      decision.mUnacknowledged.push_back(it.mMember);
    }
  }
  const TimePoint oldHeadExpiry = lastAck + aState.mMaxHeadAge;
  const TimePoint acceptAt = std::max(aState.mStageDeadline, oldHeadExpiry);
  const bool stagingOver = aNow >= aState.mStageDeadline;
  const bool tooManyMissing =
    decision.mUnacknowledged.size() >= aState.mMinMembers;
  if (refused || (stagingOver && tooManyMissing)) {
    decision.mVerdict = Acceptance::Refuse;
  } else if (decision.mUnacknowledged.empty() || aNow >= acceptAt) {
    decision.mVerdict = Acceptance::Accept;
  } else {
    decision.mWaitUntil = stagingOver ? acceptAt : aState.mStageDeadline;
  }
  return decision;
}

bool
ShouldClearPending(Duration aSeenFor, bool aPreferred, Duration aMaxHeadAge)
{
  // A coordinator stages for at most 1.5 s and then waits for at most
  // aMaxHeadAge. Nodes that are not preferred wait twice as long, so that not
  // all of them write at once.
  const Duration maxCoordinatorTime = seconds(5) + aMaxHeadAge;
  return aSeenFor >= (aPreferred ? maxCoordinatorTime : maxCoordinatorTime * 2);
}

std::string
DescribeMissingAcks(std::span<const MemberAck> aAcks)
{
  std::string text;
  for (const MemberAck& it : aAcks) {
    if (!it.mAckedAt) {
      text += " '" + it.mMember + "' (" + it.mReason + ")";
    }
  }
  return text;
}

} // namespace hibiscushold
