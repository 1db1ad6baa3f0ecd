#include "config/freshness.h"

#include "route/match.h"
#include "rules/print.h"

#include <algorithm>

namespace hibiscushold {

namespace {

template<class Rule>
std::string
PrintOrEmpty(const Rule* aRule)
{
  return aRule == nullptr ? std::string() : PrintRule(*aRule);
}

/// @return all rules that apply to the request, as one text
std::string
DescribeDecision(const Rules& aRules, const RequestFeatures& aRequest)
{
  std::string text =
    PrintOrEmpty(FindRule(aRules.mAccounts, aRequest.mAccount));
  const auto match =
    MatchRoute(aRules, aRequest.mAccount, aRequest.mPath, aRequest.mModel);
  if (!match) {
    return text + "\nno route";
  }
  text += "\n" + PrintOrEmpty(match->mRoute);
  text += "\n" + PrintOrEmpty(match->mPolicy);
  text += "\n" + PrintOrEmpty(match->mGroup);
  text += "\n" + PrintOrEmpty(match->mService);
  return text;
}

} // namespace

void
MergeEvidence(HeadEvidence& aEvidence, const HeadEvidence& aOther)
{
  if (aOther.mObjectVersion > aEvidence.mObjectVersion) {
    aEvidence.mObjectVersion = aOther.mObjectVersion;
    aEvidence.mHead = aOther.mHead;
  }
  aEvidence.mBasis = std::max(aEvidence.mBasis, aOther.mBasis);
}

TimePoint
AnswerAsOf(TimePoint aSent, TimePoint aReceived, Duration aAge)
{
  return aReceived - (aAge + (aReceived - aSent));
}

Admission
DecideAdmission(const FreshnessState& aState, TimePoint aNow)
{
  const bool fresh = aNow < aState.mEvidence.mBasis + aState.mFreshness;
  if (!fresh && aState.mReachableMembers < aState.mMinMembers) {
    return Admission::None;
  }
  const ConfigHead& head = aState.mEvidence.mHead;
  const bool pending = head.mPending.has_value();
  const bool behind = head.mAccepted.mVersion > aState.mInForce;
  return pending || behind ? Admission::SameUnderBoth : Admission::All;
}

bool
AreDecidedAlike(const Rules& aOne,
                const Rules& aOther,
                const RequestFeatures& aRequest)
{
  return DescribeDecision(aOne, aRequest) == DescribeDecision(aOther, aRequest);
}

} // namespace hibiscushold
