#include "config/freshness.h"

#include "route/match.h"
#include "rules/format.h"

#include <algorithm>

namespace hibiscushold {

namespace {

template<class Rule>
std::string
FormatOrEmpty(const Rule* aRule)
{
  return aRule == nullptr ? std::string() : FormatRule(*aRule);
}

/// @return all rules that apply to the request, as one text
std::string
DescribeDecision(const Rules& aRules, const RequestFeatures& aRequest)
{
  std::string text =
    FormatOrEmpty(FindRule(aRules.mAccounts, aRequest.mAccount));
  const auto match =
    MatchRoute(aRules, aRequest.mAccount, aRequest.mPath, aRequest.mModel);
  if (!match) {
    return text + "\nno route";
  }
  text += "\n" + FormatOrEmpty(match->mRoute);
  text += "\n" + FormatOrEmpty(match->mPolicy);
  text += "\n" + FormatOrEmpty(match->mGroup);
  text += "\n" + FormatOrEmpty(match->mService);
  return text;
}

} // namespace

void
MergeSnapshot(HeadSnapshot& aSnapshot, const HeadSnapshot& aOther)
{
  if (aOther.mObjectVersion > aSnapshot.mObjectVersion) {
    aSnapshot.mObjectVersion = aOther.mObjectVersion;
    aSnapshot.mHead = aOther.mHead;
  }
  aSnapshot.mAsOf = std::max(aSnapshot.mAsOf, aOther.mAsOf);
}

TimePoint
AnswerAsOf(TimePoint aSent, TimePoint aReceived, Duration aAge)
{
  return aReceived - (aAge + (aReceived - aSent));
}

ConfigAdmission
DecideConfigAdmission(const FreshnessState& aState, TimePoint aNow)
{
  const bool fresh = aNow < aState.mHeadSnapshot.mAsOf + aState.mMaxHeadAge;
  if (!fresh && aState.mReachableMembers < aState.mMinMembers) {
    return ConfigAdmission::None;
  }
  const ConfigHead& head = aState.mHeadSnapshot.mHead;
  const bool pending = head.mPending.has_value();
  const bool behind = head.mAccepted.mVersion > aState.mActiveVersion;
  return pending || behind ? ConfigAdmission::SameUnderBoth
                           : ConfigAdmission::All;
}

bool
HaveSameResult(const Rules& aOne,
               const Rules& aOther,
               const RequestFeatures& aRequest)
{
  return DescribeDecision(aOne, aRequest) == DescribeDecision(aOther, aRequest);
}

} // namespace hibiscushold
