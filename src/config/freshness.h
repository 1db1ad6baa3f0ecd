#pragma once

#include "config/head.h"
#include "core/clock.h"
#include "rules/rules.h"

#include <string_view>

namespace hibiscushold {

/// The latest head object known to a member and a time at which the store held
/// no later one.
struct HeadSnapshot
{
  uint64_t mObjectVersion = 0; ///< store version of the head object
  ConfigHead mHead;
  TimePoint mAsOf{}; ///< when the underlying store read was sent
};

/// Merges another read of the head: keeps the head with the higher version and
/// the later time, which may come from different reads. If the lower version
/// was still current at the later time, the higher one was written after it.
void
MergeSnapshot(HeadSnapshot& aSnapshot, const HeadSnapshot& aOther);

/// Computes when a head in another member's answer was current.
/// @param aSent when this member sent the call
/// @param aReceived when the answer arrived
/// @param aAge age stated in the answer, as of some time between the two
/// @return a time at which the head was current; never too late, as the whole
///         round trip counts as additional age
TimePoint
AnswerAsOf(TimePoint aSent, TimePoint aReceived, Duration aAge);

/// Which requests a member may admit.
enum class ConfigAdmission
{
  All,
  SameUnderBoth, ///< only those that both known versions treat alike
  None,
};

/// The input of DecideConfigAdmission.
struct FreshnessState
{
  HeadSnapshot mHeadSnapshot;
  uint64_t mActiveVersion = 0; ///< version that this member applies
  /// Registered members that answered within mMaxHeadAge, this one included.
  size_t mReachableMembers = 0;
  /// At least this many members that reach each other may go on admitting
  /// requests when their last read of the head has expired.
  size_t mMinMembers = 2;
  Duration mMaxHeadAge = seconds(5); ///< how long a read of the head is valid
};

/// Decides which requests may be admitted at aNow.
ConfigAdmission
DecideConfigAdmission(const FreshnessState& aState, TimePoint aNow);

/// The parts of a request that routing depends on.
struct RequestFeatures
{
  std::string_view mAccount;
  std::string_view mPath; ///< without the query
  std::string_view mModel;
};

/// @return whether the request has the same account, route, policy and target
///         under both versions; the requesters of the rules are not compared
bool
HaveSameResult(const Rules& aOne,
               const Rules& aOther,
               const RequestFeatures& aRequest);

} // namespace hibiscushold
