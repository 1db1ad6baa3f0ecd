#include "serve/claim.h"

#include "core/ids.h"
#include "core/json.h"
#include "core/textstream.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

namespace hibiscushold {

namespace {

constexpr int64_t kMaxRetryAfterMillis = 500;
constexpr int64_t kMinRetryAfterMillis = 20;
/// Assumed limit on the difference between the nodes' clocks; claims are kept
/// this much longer than the retention time.
constexpr int64_t kMaxClockSkewMillis = 60000;
constexpr std::array<const char*, 4> kPhaseNames = { "running",
                                                     "done",
                                                     "ran",
                                                     "unknown" };

/// A response body may contain arbitrary bytes; JSON text may not.
std::string
EncodeBase64(const std::string& aBytes)
{
  TextStream text;
  Poco::Base64Encoder encoder(text);
  encoder.exceptions(std::ios::badbit);
  encoder.rdbuf()->setLineLength(0);
  encoder << aBytes;
  encoder.close();
  return text.str();
}

Result<std::string>
DecodeBase64(const std::string& aText)
{
  std::string bytes;
  try {
    std::istringstream text(aText);
    Poco::Base64Decoder decoder(text);
    Poco::StreamCopier::copyToString(decoder, bytes);
    if (decoder.bad()) {
      return Failure{ Error::ReplyInvalid, "claim: body", "" };
    }
  } catch (const Poco::Exception&) {
    return Failure{ Error::ReplyInvalid, "claim: body", "" };
  }
  return bytes;
}

Result<ClaimPhase>
ParsePhase(const std::string& aName)
{
  const auto it = std::find(kPhaseNames.begin(), kPhaseNames.end(), aName);
  if (it == kPhaseNames.end()) {
    return Failure{ Error::ReplyInvalid, "claim: phase '" + aName + "'", "" };
  }
  return static_cast<ClaimPhase>(it - kPhaseNames.begin());
}

Refusal
OutcomeUnknown()
{
  return { RefusalKind::OutcomeUnknown,
           "a request with this key may have been sent and its outcome is not "
           "known; ask the service before sending a new key",
           Ran::Unknown };
}

Refusal
StillRunning(int64_t aLeftMillis)
{
  const int64_t wait =
    std::clamp(aLeftMillis, kMinRetryAfterMillis, kMaxRetryAfterMillis);
  return { RefusalKind::Duplicate,
           "a request with this key is running",
           Ran::Unknown,
           static_cast<uint32_t>(wait) };
}

} // namespace

const char*
NameOf(ClaimPhase aPhase)
{
  return kPhaseNames[static_cast<size_t>(aPhase)];
}

std::string
SerializeClaim(const Claim& aClaim)
{
  Json::Value json;
  json["phase"] = NameOf(aClaim.mPhase);
  json["nonce"] = aClaim.mNonce;
  json["digest"] = aClaim.mDigest;
  json["node"] = aClaim.mNode;
  json["request"] = aClaim.mRequest;
  json["created_ms"] = Json::Int64(aClaim.mCreatedMillis);
  json["deadline_ms"] = Json::Int64(aClaim.mDeadlineMillis);
  if (aClaim.mPhase == ClaimPhase::Done || aClaim.mPhase == ClaimPhase::Ran) {
    json["status"] = aClaim.mResponse.mStatus;
    json["content_type"] = aClaim.mResponse.mContentType;
  }
  if (aClaim.mPhase == ClaimPhase::Done) {
    json["body"] = EncodeBase64(aClaim.mResponse.mBody);
  }
  return ToJson(json);
}

Result<Claim>
ParseClaim(std::string_view aText)
{
  BOOST_OUTCOME_TRY(json, ParseJsonObject(aText));
  Claim claim;
  BOOST_OUTCOME_TRY(phase, ParsePhase(TextAt(json, "phase")));
  claim.mPhase = phase;
  claim.mNonce = TextAt(json, "nonce");
  claim.mDigest = TextAt(json, "digest");
  claim.mNode = TextAt(json, "node");
  claim.mRequest = TextAt(json, "request");
  claim.mCreatedMillis = static_cast<int64_t>(NumberAt(json, "created_ms"));
  claim.mDeadlineMillis = static_cast<int64_t>(NumberAt(json, "deadline_ms"));
  claim.mResponse.mStatus = static_cast<int>(NumberAt(json, "status"));
  claim.mResponse.mContentType = TextAt(json, "content_type");
  BOOST_OUTCOME_TRY(body, DecodeBase64(TextAt(json, "body")));
  claim.mResponse.mBody = std::move(body);
  return claim;
}

std::string
ClaimShardPrefix(uint32_t aShard)
{
  std::array<char, 8> shard;
  std::snprintf(shard.data(), shard.size(), "%03x", aShard % kClaimShards);
  return std::string(kClaimPrefix) + shard.data() + "/";
}

std::string
ClaimKey(std::string_view aAccount, std::string_view aIdempotencyKey)
{
  const std::string digest = Sha256Hex(aIdempotencyKey);
  return std::string(kClaimPrefix) + digest.substr(0, 3) + "/" +
         std::string(aAccount) + "/" + digest;
}

std::string
ClaimDigest(const CallerRequest& aRequest)
{
  return Sha256Hex(aRequest.mMethod + "\n" + aRequest.mPath + "\n" +
                   aRequest.mBody);
}

std::optional<int64_t>
ParseKeyTimeMillis(std::string_view aIdempotencyKey)
{
  constexpr std::string_view kForm = "xxxxxxxx-xxxx-7xxx-Vxxx-xxxxxxxxxxxx";
  constexpr std::string_view kHex = "0123456789abcdefABCDEF";
  constexpr std::string_view kVariant = "89abAB";
  if (aIdempotencyKey.size() != kForm.size()) {
    return std::nullopt;
  }
  std::string digits;
  for (size_t i = 0; i < kForm.size(); ++i) {
    const char c = aIdempotencyKey[i];
    const bool fits = kForm[i] == 'x'   ? kHex.find(c) != kHex.npos
                      : kForm[i] == 'V' ? kVariant.find(c) != kVariant.npos
                                        : kForm[i] == c;
    if (!fits) {
      return std::nullopt;
    }
    if (c != '-') {
      digits += c;
    }
  }
  constexpr size_t kTimeDigits = 12;
  return std::stoll(digits.substr(0, kTimeDigits), nullptr, 16);
}

ClaimDecision
EvaluateClaim(const Claim& aFound,
              std::string_view aDigest,
              int64_t aWallMillis)
{
  ClaimDecision decision;
  if (aFound.mDigest != aDigest) {
    decision.mRefusal =
      Refusal{ RefusalKind::InvalidRequest,
               "header Idempotency-Key: the key was used for another request; "
               "send a new key" };
    return decision;
  }
  switch (aFound.mPhase) {
    case ClaimPhase::Done:
      decision.mStored = aFound.mResponse;
      break;
    case ClaimPhase::Ran:
      decision.mRefusal =
        Refusal{ RefusalKind::AlreadyRan,
                 "the request with this key ran with status " +
                   std::to_string(aFound.mResponse.mStatus) +
                   "; its answer was not kept, ask the service for the result",
                 Ran::Yes };
      break;
    case ClaimPhase::Running:
      decision.mOverdue = aWallMillis > aFound.mDeadlineMillis;
      decision.mRefusal =
        decision.mOverdue ? OutcomeUnknown()
                          : StillRunning(aFound.mDeadlineMillis - aWallMillis);
      break;
    case ClaimPhase::Unknown:
      decision.mRefusal = OutcomeUnknown();
      break;
  }
  return decision;
}

bool
IsExpired(const Claim& aClaim, milliseconds aRetention, int64_t aWallMillis)
{
  const int64_t kept = aRetention.count() + kMaxClockSkewMillis;
  return aWallMillis - aClaim.mCreatedMillis > kept &&
         aWallMillis - aClaim.mDeadlineMillis > kMaxClockSkewMillis;
}

} // namespace hibiscushold
