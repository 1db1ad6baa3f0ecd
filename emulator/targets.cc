#include "emulator/targets.h"

#include "emulator/configs.h"
#include "emulator/oddentry.h"
#include "platform/wirenames.h"

#include <algorithm>

namespace hibiscushold::emulator {

namespace {

constexpr int64_t kBeatMillis = 1200;
/// An entry whose target is silent goes after this time.
constexpr int64_t kExpiryMillis = 3 * kBeatMillis;
constexpr int64_t kDrainMillis = 2000;
constexpr int64_t kMaxExtraDrainMillis = 3000;
constexpr int64_t kReuseMillis = 2000;
constexpr int64_t kRestartMillis = 3000;
constexpr size_t kSparePlaces = 4;
constexpr int64_t kColdMillis = 3000;
/// Part of the reports that are late, and when the store executes them.
constexpr double kLateShare = 0.35;
constexpr int64_t kMinLateMillis = 1000;
constexpr int64_t kMaxLateMillis = 6000;
/// A cold target ends at this multiple of the rate that it tolerates.
constexpr double kFatalFactor = 6;

std::string
VmKind()
{
  std::string kind = wire::kVmPrefix;
  kind.pop_back();
  return kind;
}

uint64_t
UnixMillis()
{
  return static_cast<uint64_t>(
    std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

} // namespace

Targets::Targets(const Scenario& aScenario,
                 Store& aStore,
                 const Timeline& aTimeline,
                 Recorder& aRecorder)
  : mStore(aStore)
  , mAreColdFirst(aScenario.mColdPerSecond > 0)
  , mTimeline(aTimeline)
  , mRecorder(aRecorder)
  , mRandom(aScenario.mSeed)
{
  const size_t count = aScenario.mTargetsPerService * kServices;
  for (size_t i = 0; i < count + kSparePlaces; ++i) {
    // Each service has targets in each zone.
    const size_t zone = i / kServices % aScenario.mTargetZones;
    mPlaces.push_back(
      { std::make_unique<TargetAddress>(
          kFatalFactor * aScenario.mColdPerSecond, aTimeline, aRecorder),
        "zone-" + std::to_string(zone) });
  }
  for (size_t i = 0; i < count; ++i) {
    StartAt(mPlaces[i], i % kServices, 0);
  }
}

void
Targets::StartAt(Place& aPlace, size_t aService, int64_t aColdUntil)
{
  Target target;
  target.mZone = aPlace.mZone;
  target.mColdUntil = aColdUntil;
  target.mId = "target-" + std::to_string(mNextId++);
  target.mService = aService;
  target.mBorn = UnixMillis();
  target.mAnnouncesLeaving = std::bernoulli_distribution(0.5)(mRandom);
  aPlace.mIsLeavingAcked = false;
  aPlace.mEndsAt = 0;
  aPlace.mNextBeatAt = mTimeline.Now();
  aPlace.mAddress->Start(std::move(target));
}

Targets::Place*
Targets::FindFree()
{
  std::vector<Place*> free;
  for (Place& it : mPlaces) {
    if (!it.mAddress->Occupant() && !it.mRestartedService &&
        it.mFreeFrom <= mTimeline.Now()) {
      free.push_back(&it);
    }
  }
  std::uniform_int_distribution<size_t> draw(0, free.size() - 1);
  return free.empty() ? nullptr : free[draw(mRandom)];
}

void
Targets::ReplaceOne()
{
  const std::lock_guard guard(mLock);
  Place* free = FindFree();
  std::vector<Place*> staying;
  for (Place& it : mPlaces) {
    const std::optional<Target> target = it.mAddress->Occupant();
    if (target && !target->mIsLeaving) {
      staying.push_back(&it);
    }
  }
  if (free == nullptr || staying.empty()) {
    return;
  }
  std::uniform_int_distribution<size_t> draw(0, staying.size() - 1);
  Place& leaving = *staying[draw(mRandom)];
  StartAt(*free, leaving.mAddress->Occupant()->mService, ColdUntil());
  leaving.mAddress->Leave();
  leaving.mNextBeatAt = mTimeline.Now();
  leaving.mEndsAt =
    mTimeline.Now() + kDrainMillis +
    std::uniform_int_distribution<int64_t>(500, kMaxExtraDrainMillis)(mRandom);
}

int64_t
Targets::ColdUntil() const
{
  return mAreColdFirst ? mTimeline.Now() + kColdMillis : 0;
}

void
Targets::TurnCold(const std::string& aZone)
{
  const std::lock_guard guard(mLock);
  for (const Place& it : mPlaces) {
    if (it.mZone == aZone) {
      it.mAddress->TurnCold(ColdUntil());
    }
  }
}

void
Targets::SpoilAnswers(AnswerFault aFault, double aShare)
{
  const std::lock_guard guard(mLock);
  for (const Place& it : mPlaces) {
    const bool isSpoiled = std::bernoulli_distribution(aShare)(mRandom);
    it.mAddress->SetAnswerFault(isSpoiled ? aFault : AnswerFault::None);
  }
}

void
Targets::LeaveOddEntry(const Json::Value& aEntry)
{
  mStore.Put(VmKind(), kOddEntryName, aEntry, std::nullopt);
}

void
Targets::SyncPlace(Place& aPlace, bool aIsStoreAway)
{
  const int64_t now = mTimeline.Now();
  if (const std::optional<size_t> crashed = aPlace.mAddress->TakeCrashed()) {
    aPlace.mRestartsAt = now + kRestartMillis;
    aPlace.mRestartedService = crashed;
  }
  if (aPlace.mRestartedService && now >= aPlace.mRestartsAt) {
    StartAt(aPlace, *aPlace.mRestartedService, ColdUntil());
    aPlace.mRestartedService.reset();
  }
  const std::optional<Target> target = aPlace.mAddress->Occupant();
  if (!target) {
    return;
  }
  if (target->mIsLeaving && aPlace.mIsLeavingAcked && now >= aPlace.mEndsAt &&
      !aIsStoreAway) {
    aPlace.mAddress->End();
    aPlace.mFreeFrom = now + kReuseMillis;
    mStore.Delete(VmKind(), target->mId, std::nullopt);
    return;
  }
  if (now < aPlace.mNextBeatAt || aIsStoreAway) {
    return;
  }
  Report(aPlace, *target);
}

void
Targets::Report(Place& aPlace, const Target& aTarget)
{
  const int64_t now = mTimeline.Now();
  aPlace.mNextBeatAt = now + kBeatMillis;
  const LateReport report{ aTarget.mId,
                           aPlace.mAddress->EntryOf(aTarget),
                           aTarget.mIsLeaving };
  aPlace.mAddress->Beat();
  if (mAreReportsLate && std::bernoulli_distribution(kLateShare)(mRandom)) {
    std::uniform_int_distribution<int64_t> draw(kMinLateMillis, kMaxLateMillis);
    mLateReports.emplace(now + draw(mRandom), report);
  } else {
    Execute(report);
  }
}

void
Targets::Execute(const LateReport& aReport)
{
  mStore.Put(VmKind(), aReport.mTarget, aReport.mEntry, std::nullopt);
  for (Place& it : mPlaces) {
    const std::optional<Target> target = it.mAddress->Occupant();
    if (target && target->mId == aReport.mTarget && aReport.mSaysLeaving &&
        !it.mIsLeavingAcked) {
      it.mIsLeavingAcked = true;
      mRecorder.Record(LeavingLine{ target->mId, mTimeline.Now() });
    }
  }
}

void
Targets::SetReportsLate(bool aAreLate)
{
  const std::lock_guard guard(mLock);
  mAreReportsLate = aAreLate;
}

void
Targets::RemoveOrphans()
{
  Orphans orphans;
  for (const StoredObject& it : mStore.Read(VmKind(), "").mObjects) {
    const bool isAlive =
      std::any_of(mPlaces.begin(), mPlaces.end(), [&](const Place& aPlace) {
        const std::optional<Target> target = aPlace.mAddress->Occupant();
        return target && target->mId == it.mName;
      });
    if (isAlive) {
      continue;
    }
    const auto known = mOrphans.find(it.mName);
    const int64_t since =
      known == mOrphans.end() ? mTimeline.Now() : known->second;
    if (mTimeline.Now() >= since + kExpiryMillis) {
      mStore.Delete(VmKind(), it.mName, std::nullopt);
    } else {
      orphans[it.mName] = since;
    }
  }
  mOrphans = std::move(orphans);
}

void
Targets::Sync(bool aIsStoreAway)
{
  const std::lock_guard guard(mLock);
  for (Place& it : mPlaces) {
    SyncPlace(it, aIsStoreAway);
  }
  while (!aIsStoreAway && !mLateReports.empty() &&
         mLateReports.begin()->first <= mTimeline.Now()) {
    Execute(mLateReports.begin()->second);
    mLateReports.erase(mLateReports.begin());
  }
  if (!aIsStoreAway) {
    RemoveOrphans();
  }
}

} // namespace hibiscushold::emulator
