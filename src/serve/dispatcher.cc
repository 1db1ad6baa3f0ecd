#include "serve/dispatcher.h"

#include "serve/requestrun.h"

#include <algorithm>

namespace hibiscushold {

namespace {

Refusal
AdmissionRefusal(const Denial& aDenial)
{
  const bool limit = aDenial.mReason == DenyReason::AccountRate ||
                     aDenial.mReason == DenyReason::AccountConcurrency;
  const auto wait = std::max<int64_t>(1, ToMillis(aDenial.mRetryAfter));
  return { limit ? RefusalKind::RateLimited : RefusalKind::Overloaded,
           std::string("not let in: ") + NameOf(aDenial.mReason),
           Ran::No,
           static_cast<uint32_t>(wait) };
}

} // namespace

Dispatcher::Dispatcher(Dependencies aDependencies, Timeouts aTimeouts)
  : mDependencies(aDependencies)
  , mTimeouts(aTimeouts)
{
}

ResultOrRefusal<Dispatcher::Response>
Dispatcher::Run(const CallerRequest& aRequest, EventSink& aSink)
{
  const AccountRule* account =
    FindRule(aRequest.mConfig->mRules.mAccounts, aRequest.mAccount);
  auto permit = mDependencies.mAdmission.Admit(
    { *account, aRequest.mMatch, aRequest.mDeadline });
  if (!permit) {
    return AdmissionRefusal(permit.error());
  }
  ResultOrRefusal<Response> response = RunAdmitted(aRequest, aSink);
  if (response) {
    permit.value()->MarkAnswered();
  }
  return response;
}

ResultOrRefusal<Dispatcher::Response>
Dispatcher::RunAdmitted(const CallerRequest& aRequest, EventSink& aSink)
{
  if (aRequest.mMatch.mPolicy->mIdempotent) {
    return RunRequest(mDependencies, mTimeouts, aRequest, aSink, nullptr);
  }
  return RunAtMostOnce(aRequest, aSink);
}

ResultOrRefusal<Dispatcher::Response>
Dispatcher::RunAtMostOnce(const CallerRequest& aRequest, EventSink& aSink)
{
  std::optional<BufferedResponse> stored;
  ResultOrRefusal<OwnedClaim> claim =
    mDependencies.mClaims.Acquire(aRequest, stored);
  if (stored) {
    return Response{ false, *stored };
  }
  if (!claim) {
    return claim.error();
  }
  ResultOrRefusal<Response> response =
    RunRequest(mDependencies, mTimeouts, aRequest, aSink, &claim.value());
  if (response && response.value().mStreamed) {
    mDependencies.mClaims.FinishStream(claim.value());
  } else if (response) {
    mDependencies.mClaims.Finish(claim.value(), response.value().mBuffered);
  } else if (!response && response.error().mRan == Ran::No) {
    mDependencies.mClaims.Release(claim.value());
  } else {
    mDependencies.mClaims.MarkUnknown(claim.value());
  }
  return response;
}

} // namespace hibiscushold
