#include "serve/claimwriter.h"

#include <algorithm>

namespace hibiscushold {

namespace {

constexpr size_t kMaxQueuedWrites = 10000;
constexpr auto kInitialBackoff = milliseconds(100);
constexpr uint32_t kMaxBackoffDoublings = 6;
constexpr auto kGiveUpAfter = std::chrono::minutes(30);
/// A claim whose creation was not confirmed counts as deleted only if it is
/// still missing after this many tries: a write whose reply was lost may take
/// effect late.
constexpr uint32_t kMinTriesWhenMissing = 4;

} // namespace

ClaimWriter::ClaimWriter(Platform& aPlatform, const Clock& aClock)
  : mPlatform(aPlatform)
  , mClock(aClock)
{
}

bool
ClaimWriter::Write(const OwnedClaim& aClaim, const Claim& aNext)
{
  Entry entry{ aClaim, Action::Replace, aNext, {}, {}, 0 };
  if (Execute(entry)) {
    return true;
  }
  Queue(aClaim, Action::Replace, aNext);
  return false;
}

void
ClaimWriter::Queue(const OwnedClaim& aClaim, Action aAction, const Claim& aNext)
{
  const TimePoint now = mClock.Now();
  const std::lock_guard guard(mLock);
  if (mQueue.size() < kMaxQueuedWrites) {
    mQueue.push_back({ aClaim, aAction, aNext, now, now + kGiveUpAfter, 0 });
  }
}

void
ClaimWriter::Step()
{
  std::deque<Entry> due;
  {
    const TimePoint now = mClock.Now();
    const std::lock_guard guard(mLock);
    const auto later =
      std::stable_partition(mQueue.begin(), mQueue.end(), [&](const Entry& it) {
        return it.mNotBefore <= now;
      });
    due.assign(std::make_move_iterator(mQueue.begin()),
               std::make_move_iterator(later));
    mQueue.erase(mQueue.begin(), later);
  }
  for (Entry& it : due) {
    if (Reconcile(it)) {
      continue;
    }
    const TimePoint now = mClock.Now();
    it.mNotBefore =
      now + kInitialBackoff * (1 << std::min(it.mTries, kMaxBackoffDoublings));
    ++it.mTries;
    if (now < it.mGiveUpAt) {
      const std::lock_guard guard(mLock);
      mQueue.push_back(std::move(it));
    }
  }
}

size_t
ClaimWriter::PendingCount() const
{
  const std::lock_guard guard(mLock);
  return mQueue.size();
}

Result<void>
ClaimWriter::Execute(const Entry& aEntry)
{
  const OwnedClaim& claim = aEntry.mClaim;
  if (aEntry.mAction == Action::Delete) {
    return mPlatform.Delete(claim.mKey, claim.mVersion, CallPriority::Claim);
  }
  BOOST_OUTCOME_TRY(mPlatform.Update(claim.mKey,
                                     SerializeClaim(aEntry.mNext),
                                     claim.mVersion,
                                     CallPriority::Claim));
  return boost::outcome_v2::success();
}

bool
ClaimWriter::Reconcile(Entry& aEntry)
{
  if (aEntry.mClaim.mVersion != 0 && Execute(aEntry)) {
    return true;
  }
  Result<Object> object =
    mPlatform.Get(aEntry.mClaim.mKey, CallPriority::Claim);
  if (!object) {
    return object.error().mError == Error::StoreMissing &&
           (aEntry.mClaim.mVersion != 0 ||
            aEntry.mTries >= kMinTriesWhenMissing);
  }
  Result<Claim> found = ParseClaim(object.value().mValue);
  if (!found || found.value().mNonce != aEntry.mClaim.mClaim.mNonce) {
    return true; // the claim belongs to another request
  }
  const ClaimPhase phase = found.value().mPhase;
  if (phase == ClaimPhase::Done || phase == ClaimPhase::Ran) {
    return true; // an earlier write took effect
  }
  aEntry.mClaim.mVersion = object.value().mVersion;
  return Execute(aEntry).has_value();
}

} // namespace hibiscushold
