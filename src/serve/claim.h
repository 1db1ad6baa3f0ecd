#pragma once

#include "serve/request.h"

#include <optional>
#include <string>
#include <string_view>

namespace hibiscushold {

/// State of a claim.
enum class ClaimPhase
{
  Running, ///< its node may send or have sent the request
  Done,    ///< the response is stored
  Ran,     ///< the request ran; its response was streamed or too large to store
  Unknown, ///< the request may have been sent; its outcome is unknown
};

/// Stored record of the request that owns an (account, idempotency key) pair.
struct Claim
{
  ClaimPhase mPhase = ClaimPhase::Running;
  std::string mNonce;  ///< unique to the owning request
  std::string mDigest; ///< of method, path and body
  std::string mNode;
  std::string mRequest;        ///< id of the owning request
  int64_t mCreatedMillis = 0;  ///< Unix time
  int64_t mDeadlineMillis = 0; ///< Unix time; overdue once past it
  BufferedResponse mResponse;  ///< set for Done, and without the body for Ran
};

/// How to answer a request whose key is claimed by another request. Exactly one
/// of mStored and mRefusal is set.
struct ClaimDecision
{
  std::optional<BufferedResponse> mStored;
  std::optional<Refusal> mRefusal;
  bool mOverdue = false; ///< the caller should mark the claim as Unknown
};

inline constexpr std::string_view kClaimPrefix = "claims/";
/// Number of key prefixes over which claims are spread, to keep each listing
/// small.
inline constexpr uint32_t kClaimShards = 4096;

/// @return "running", "done", "ran" or "unknown"
const char*
NameOf(ClaimPhase aPhase);

std::string
SerializeClaim(const Claim& aClaim);

/// @return the claim, or ReplyInvalid if aText is not a serialized claim
Result<Claim>
ParseClaim(std::string_view aText);

/// @return the prefix of the shard's claims, such as "claims/0a3/"
std::string
ClaimShardPrefix(uint32_t aShard);

/// @return the key of the store object that holds the claim
std::string
ClaimKey(std::string_view aAccount, std::string_view aIdempotencyKey);

/// @return a digest of the method, path and body
std::string
ClaimDigest(const CallerRequest& aRequest);

/// @return the Unix time in milliseconds that a UUIDv7 key encodes, or nothing
///         if the key is not a UUIDv7
std::optional<int64_t>
ParseKeyTimeMillis(std::string_view aIdempotencyKey);

/// Decides how to answer a request whose key is claimed by another request.
/// @param aDigest digest of the new request
/// @param aWallMillis current Unix time in milliseconds
ClaimDecision
EvaluateClaim(const Claim& aFound,
              std::string_view aDigest,
              int64_t aWallMillis);

/// @param aWallMillis current Unix time in milliseconds
/// @return whether the claim is older than aRetention and its deadline has
///         passed, each by more than the clocks of the nodes may differ
bool
IsExpired(const Claim& aClaim, milliseconds aRetention, int64_t aWallMillis);

} // namespace hibiscushold
