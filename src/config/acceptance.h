#pragma once

#include "core/clock.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hibiscushold {

/// A registered member's response to a proposed change.
struct MemberAck
{
  std::string mMember;
  std::optional<TimePoint> mAckedAt;
  bool mRefused = false; ///< it responded that it cannot apply the change
  std::string mReason;   ///< why there is no ack
};

/// The coordinator's state of a proposed change.
struct AcceptanceState
{
  /// One per registered member, as listed after the pending change was stored.
  std::vector<MemberAck> mAcks;
  TimePoint mProposedAt;    ///< when the pending change was stored
  TimePoint mStageDeadline; ///< end of the wait for acks
  /// At least this many members that reach each other go on admitting requests
  /// when their last read of the head has expired.
  size_t mMinMembers = 2;
  Duration mMaxHeadAge = seconds(5); ///< how long a read of the head is valid
};

enum class Acceptance
{
  Wait,
  Accept,
  Refuse,
};

struct AcceptanceDecision
{
  Acceptance mVerdict = Acceptance::Wait;
  TimePoint mWaitUntil;                     ///< for Wait: when to decide again
  std::vector<std::string> mUnacknowledged; ///< members that have not acked
};

/// Decides whether a change may be accepted. Members without an ack are skipped
/// only when they are fewer than AcceptanceState::mMinMembers, so that they
/// cannot keep admitting requests among themselves, and when every read of the
/// old head that they may rely on has expired.
/// @param aState the change and the acks so far
/// @param aNow current time
/// @return the decision with the members that have not acked
AcceptanceDecision
DecideAcceptance(const AcceptanceState& aState, TimePoint aNow);

/// Decides whether to clear a pending change of another coordinator.
/// @param aSeenFor how long this node has seen the pending change unchanged
/// @param aPreferred whether this node is the first that should clear it
/// @param aMaxHeadAge how long a read of the head is valid
/// @return true when the coordinator has had enough time to finish the change
bool
ShouldClearPending(Duration aSeenFor, bool aPreferred, Duration aMaxHeadAge);

/// @return the members without an ack and the reasons, as text for operators
std::string
DescribeMissingAcks(std::span<const MemberAck> aAcks);

} // namespace hibiscushold
