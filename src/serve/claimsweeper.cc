#include "serve/claimsweeper.h"

#include "serve/claim.h"

#include <algorithm>

namespace hibiscushold {

namespace {

constexpr size_t kMaxDeletesPerStep = 1000;
constexpr auto kMinStepInterval = milliseconds(20);
constexpr uint32_t kVisitsPerRetention = 4;

} // namespace

ClaimSweeper::ClaimSweeper(Platform& aPlatform,
                           const Clock& aClock,
                           milliseconds aRetention,
                           std::function<bool(const std::string&)> aShouldSweep)
  : mPlatform(aPlatform)
  , mClock(aClock)
  , mRetention(aRetention)
  , mShouldSweep(std::move(aShouldSweep))
{
}

Duration
ClaimSweeper::StepInterval(milliseconds aRetention)
{
  return std::max<Duration>(aRetention / (kVisitsPerRetention * kClaimShards),
                            kMinStepInterval);
}

size_t
ClaimSweeper::Step()
{
  const std::string prefix = ClaimShardPrefix(mNextShard);
  mNextShard = (mNextShard + 1) % kClaimShards;
  if (!mShouldSweep(prefix)) {
    return 0;
  }
  Result<Listing> listing = mPlatform.List(prefix, CallPriority::Status);
  if (!listing) {
    return 0;
  }
  size_t deleted = 0;
  for (const Object& it : listing.value().mObjects) {
    Result<Claim> claim = ParseClaim(it.mValue);
    if (!claim || !IsExpired(claim.value(), mRetention, mClock.WallMillis())) {
      continue;
    }
    if (deleted == kMaxDeletesPerStep ||
        !mPlatform.Delete(it.mKey, it.mVersion, CallPriority::Status)) {
      break;
    }
    ++deleted;
  }
  return deleted;
}

} // namespace hibiscushold
