#pragma once

#include "serve/claim.h"
#include "serve/claimwriter.h"
#include "store/platform.h"

#include <optional>
#include <string>

namespace hibiscushold {

/// Ensures that a non-idempotent request is sent at most once. Each idempotency
/// key of an account is claimed by creating one object in the platform's store.
/// Safe for several threads.
class ClaimStore
{
public:
  /// @param aRetention time for which claims are kept
  ClaimStore(std::string aNodeId,
             Platform& aPlatform,
             ClaimWriter& aWriter,
             const Clock& aClock,
             milliseconds aRetention);

  /// Claims the key of the request. Call it before any byte of the request is
  /// sent to a target.
  /// @param aStored set to the stored response if the request has already run;
  ///        the refusal then has the kind Duplicate
  /// @return the claim if the request may be sent, else the refusal
  ResultOrRefusal<OwnedClaim> Acquire(const CallerRequest& aRequest,
                                      std::optional<BufferedResponse>& aStored);

  /// Call it before each attempt: a process that was suspended past the
  /// deadline of its claim must not send the request.
  /// @return whether the request may still be sent under the claim
  bool MaySend(const OwnedClaim& aClaim) const;

  /// Deletes the claim in the background. Only for a request that certainly did
  /// not run.
  void Release(const OwnedClaim& aClaim);

  /// Stores the response for duplicates of the request. If the body is too
  /// large to store, records only that the request ran.
  void Finish(const OwnedClaim& aClaim, const BufferedResponse& aResponse);

  /// Records that the request ran and its response was streamed.
  void FinishStream(const OwnedClaim& aClaim);

  /// Records in the background that the outcome of the request is unknown.
  void MarkUnknown(const OwnedClaim& aClaim);

  /// @return the claim of the key, nothing if there is none, or the error of
  ///         the store
  Result<std::optional<Claim>> Find(std::string_view aAccount,
                                    std::string_view aIdempotencyKey) const;

private:
  bool IsTooOld(const std::optional<int64_t>& aKeyTimeMillis) const;
  OwnedClaim Prepare(const CallerRequest& aRequest) const;
  ResultOrRefusal<std::optional<OwnedClaim>> TryCreate(
    OwnedClaim& aOwnClaim,
    std::optional<BufferedResponse>& aStored);
  ResultOrRefusal<std::optional<OwnedClaim>> Evaluate(
    const Object& aObject,
    const OwnedClaim& aOwnClaim,
    std::optional<BufferedResponse>& aStored);

  const std::string mNodeId;
  Platform& mPlatform;
  ClaimWriter& mWriter;
  const Clock& mClock;
  const milliseconds mRetention;
};

} // namespace hibiscushold
