#include "fleet/quarantine.h"

#include "core/hash.h"
#include "observe/events.h"

#include <algorithm>
#include <string>

namespace hibiscushold {

namespace {

/// How long crashes of a trait count that is not quarantined.
constexpr auto kSuspicionTime = seconds(60);
/// How long a trait is quarantined after the crashes that prove it.
constexpr auto kQuarantineTime = seconds(300);
/// When a trait is first tried; each further trial takes four times as long.
constexpr auto kFirstTrialTime = seconds(30);
/// A target that crashes under an answer does so this soon after it has begun.
constexpr auto kBeginningTime = milliseconds(250);
constexpr size_t kMaxCrashesPerSuspect = 16;
constexpr size_t kMaxStrongNotices = 96;

/// @return when too few crashes will be left to keep the trait quarantined
TimePoint
EndOf(const Suspect& aCulprit)
{
  std::vector<Crash> crashes = NotRefuted(aCulprit);
  std::sort(crashes.begin(), crashes.end(), [](const auto& aL, const auto& aR) {
    return aL.mAt > aR.mAt;
  });
  return crashes[kMinCrashes - 1].mAt + kQuarantineTime;
}

/// @return the name of a trait's kind, for the log
std::string
KindOf(uint8_t aRank)
{
  switch (aRank) {
    case kContentRank:
      return "request";
    case kResourceRank:
      return "resource";
    default:
      return "part";
  }
}

void
AppendNotices(TraitId aTrait,
              const Suspect& aSuspect,
              std::vector<CrashNotice>& aInto)
{
  for (const Crash& it : aSuspect.mCrashes) {
    aInto.push_back({ aTrait, aSuspect.mRank, aSuspect.mWasAnswered, it });
  }
}

} // namespace

uint64_t
TargetStartId(std::string_view aVmId, uint64_t aStartedMillis)
{
  return Hash64(std::to_string(aStartedMillis), Hash64(aVmId));
}

void
Quarantine::RecordCrash(const RequestTraits& aTraits,
                        uint64_t aTarget,
                        std::optional<TimePoint> aBeganAt,
                        TimePoint aNow)
{
  const bool atBeginning = aBeganAt && aNow - *aBeganAt < kBeginningTime;
  const Crash crash{ aTarget, aTraits.mContent, aNow, false, atBeginning };
  const std::lock_guard guard(mLock);
  for (const RankedTrait& it : RankedTraitsOf(aTraits)) {
    Add({ it.mTrait, it.mRank, false, crash }, aNow);
  }
  UpdateCulprits(aNow);
}

void
Quarantine::RecordAnswer(const RequestTraits& aTraits,
                         TimePoint aBeganAt,
                         TimePoint aNow)
{
  const std::vector<RankedTrait> traits = RankedTraitsOf(aTraits);
  for (const RankedTrait& it : traits) {
    SoundTraitsOf(it.mRank).RecordAnswer(it.mTrait, aNow);
  }
  if (mSuspectCount == 0) {
    return;
  }
  const std::lock_guard guard(mLock);
  const auto precedes = [&](const Crash& it) { return it.mAt < aBeganAt; };
  bool refuted = false;
  for (const RankedTrait& it : traits) {
    refuted = Refute(it.mTrait, precedes, aNow) || refuted;
  }
  if (refuted) {
    UpdateCulprits(aNow);
  }
}

void
Quarantine::RecordAlive(uint64_t aTarget, TimePoint aSentAt, TimePoint aNow)
{
  if (mSuspectCount == 0) {
    return;
  }
  const std::lock_guard guard(mLock);
  if (!mEndedTargets.contains(aTarget)) {
    return;
  }
  const auto precedes = [&](const Crash& it) {
    return it.mTarget == aTarget && it.mAt < aSentAt;
  };
  bool refuted = false;
  for (const auto& [trait, suspect] : mSuspects) {
    refuted = Refute(trait, precedes, aNow) || refuted;
  }
  if (refuted) {
    UpdateCulprits(aNow);
  }
}

void
Quarantine::Merge(std::span<const CrashNotice> aNotices, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  for (const CrashNotice& it : aNotices) {
    Add(it, aNow);
  }
  UpdateCulprits(aNow);
}

void
Quarantine::Refresh(TimePoint aNow)
{
  if (mSuspectCount == 0) {
    return;
  }
  const std::lock_guard guard(mLock);
  mEndedTargets.clear();
  for (auto it = mSuspects.begin(); it != mSuspects.end();) {
    const Duration lifetime =
      mCulprits.contains(it->first) ? kQuarantineTime : kSuspicionTime;
    std::erase_if(it->second.mCrashes, [&](const Crash& aCrash) {
      return aCrash.mAt + lifetime <= aNow;
    });
    for (const Crash& crash : NotRefuted(it->second)) {
      mEndedTargets.insert(crash.mTarget);
    }
    if (it->second.mCrashes.empty()) {
      mChangedAt.erase(it->first);
      it = mSuspects.erase(it);
    } else {
      ++it;
    }
  }
  UpdateCulprits(aNow);
}

std::optional<TimePoint>
Quarantine::EndOfQuarantine(const RequestTraits& aTraits) const
{
  if (mCulpritCount == 0) {
    return std::nullopt;
  }
  std::optional<TimePoint> end;
  const std::lock_guard guard(mLock);
  for (const TraitId it : QuarantinedOf(aTraits)) {
    const TimePoint at = mCulprits.at(it).mEnd;
    end = std::max(end.value_or(at), at);
  }
  return end;
}

bool
Quarantine::TryTrial(const RequestTraits& aTraits, TimePoint aNow)
{
  if (!mMakesTrials) {
    return false;
  }
  const std::lock_guard guard(mLock);
  const std::vector<TraitId> traits = QuarantinedOf(aTraits);
  const bool due = std::all_of(traits.begin(), traits.end(), [&](TraitId aIt) {
    return mCulprits.at(aIt).mNextTrialAt <= aNow;
  });
  if (due) {
    for (const TraitId it : traits) {
      Confinement& confinement = mCulprits.at(it);
      ++confinement.mTrials;
      confinement.mNextTrialAt =
        aNow + kFirstTrialTime * (1 << (2 * confinement.mTrials));
    }
  }
  return due;
}

std::vector<TraitId>
Quarantine::QuarantinedOf(const RequestTraits& aTraits) const
{
  std::vector<TraitId> found;
  for (const RankedTrait& it : RankedTraitsOf(aTraits)) {
    if (mCulprits.contains(it.mTrait)) {
      found.push_back(it.mTrait);
    }
  }
  return found;
}

std::vector<CrashNotice>
Quarantine::ChangesSince(TimePoint aSince) const
{
  std::vector<CrashNotice> notices;
  if (mSuspectCount == 0) {
    return notices;
  }
  const std::lock_guard guard(mLock);
  for (const auto& [trait, at] : mChangedAt) {
    if (at >= aSince) {
      AppendNotices(trait, mSuspects.at(trait), notices);
    }
  }
  return notices;
}

std::vector<CrashNotice>
Quarantine::StrongEvidence() const
{
  std::vector<CrashNotice> notices;
  if (mSuspectCount == 0) {
    return notices;
  }
  const std::lock_guard guard(mLock);
  for (const auto& [trait, confinement] : mCulprits) {
    AppendNotices(trait, mSuspects.at(trait), notices);
  }
  for (const auto& [trait, suspect] : mSuspects) {
    if (!mCulprits.contains(trait) &&
        CountApart(NotRefuted(suspect)) + 1 >= kMinCrashes) {
      AppendNotices(trait, suspect, notices);
    }
  }
  notices.resize(std::min(notices.size(), kMaxStrongNotices));
  return notices;
}

void
Quarantine::Add(const CrashNotice& aNotice, TimePoint aNow)
{
  if (!mSuspects.contains(aNotice.mTrait) && mSuspects.size() >= kMaxSuspects) {
    MakeRoom();
  }
  Suspect& suspect = mSuspects[aNotice.mTrait];
  suspect.mRank = std::max(suspect.mRank, aNotice.mRank);
  const bool wasAnswered =
    suspect.mWasAnswered || aNotice.mWasAnswered ||
    SoundTraitsOf(aNotice.mRank).WasAnswered(aNotice.mTrait, aNow);
  if (wasAnswered != suspect.mWasAnswered) {
    suspect.mWasAnswered = wasAnswered;
    mChangedAt[aNotice.mTrait] = aNow;
  }
  std::vector<Crash>& crashes = suspect.mCrashes;
  const auto known =
    std::find_if(crashes.begin(), crashes.end(), [&](const Crash& it) {
      return it.mTarget == aNotice.mCrash.mTarget;
    });
  if (known != crashes.end()) {
    // The earliest time and the smallest id are the same on all nodes in the
    // end, whatever the order of the reports.
    const Crash merged{ known->mTarget,
                        std::min(known->mContent, aNotice.mCrash.mContent),
                        std::min(known->mAt, aNotice.mCrash.mAt),
                        known->mRefuted || aNotice.mCrash.mRefuted,
                        known->mAtBeginning || aNotice.mCrash.mAtBeginning };
    const bool changed = merged.mContent != known->mContent ||
                         merged.mRefuted != known->mRefuted ||
                         merged.mAtBeginning != known->mAtBeginning;
    *known = merged;
    if (changed) {
      mChangedAt[aNotice.mTrait] = aNow;
    }
    return;
  }
  if (crashes.size() >= kMaxCrashesPerSuspect) {
    // Old crashes may have found another explanation.
    const auto oldest = std::min_element(
      crashes.begin(), crashes.end(), [](const auto& aL, const auto& aR) {
        return aL.mAt < aR.mAt;
      });
    if (aNotice.mCrash.mAt <= oldest->mAt) {
      return;
    }
    crashes.erase(oldest);
  }
  crashes.push_back(aNotice.mCrash);
  mEndedTargets.insert(aNotice.mCrash.mTarget);
  mChangedAt[aNotice.mTrait] = aNow;
}

SoundTraits&
Quarantine::SoundTraitsOf(uint8_t aRank)
{
  switch (aRank) {
    case kContentRank:
      return mSoundContents;
    case kResourceRank:
      return mSoundResources;
    default:
      return mSoundParts;
  }
}

void
Quarantine::MakeRoom()
{
  const auto evidence = [this](const auto& aIt) {
    return std::tuple(mCulprits.contains(aIt.first),
                      NotRefuted(aIt.second).size(),
                      mChangedAt.at(aIt.first));
  };
  const auto weakest = std::min_element(
    mSuspects.begin(), mSuspects.end(), [&](const auto& aL, const auto& aR) {
      return evidence(aL) < evidence(aR);
    });
  mChangedAt.erase(weakest->first);
  mSuspects.erase(weakest);
}

template<class Predicate>
bool
Quarantine::Refute(TraitId aTrait, Predicate aApplies, TimePoint aNow)
{
  const auto found = mSuspects.find(aTrait);
  if (found == mSuspects.end()) {
    return false;
  }
  bool refuted = false;
  for (Crash& it : found->second.mCrashes) {
    if (!it.mRefuted && aApplies(it)) {
      it.mRefuted = true;
      refuted = true;
      mChangedAt[aTrait] = aNow;
    }
  }
  return refuted;
}

void
Quarantine::UpdateCulprits(TimePoint aNow)
{
  std::set<TraitId> known;
  for (const auto& [trait, confinement] : mCulprits) {
    known.insert(trait);
  }
  const std::set<TraitId> culprits = FindCulprits(mSuspects, known, aNow);
  for (const TraitId it : known) {
    if (!culprits.contains(it)) {
      LogEvent(EventId::QuarantineEnded, { { "trait", ToHex(it) } });
      mCulprits.erase(it);
    }
  }
  for (const TraitId it : culprits) {
    const Suspect& suspect = mSuspects.at(it);
    const auto [entry, isNew] =
      mCulprits.try_emplace(it, Confinement{ {}, aNow + kFirstTrialTime });
    entry->second.mEnd = EndOf(suspect);
    if (isNew) {
      LogEvent(EventId::QuarantineStarted,
               { { "trait", ToHex(it) },
                 { "kind", KindOf(suspect.mRank) },
                 { "answered", suspect.mWasAnswered ? "yes" : "no" },
                 { "crashes", std::to_string(NotRefuted(suspect).size()) } });
    }
  }
  mSuspectCount = mSuspects.size();
  mCulpritCount = mCulprits.size();
}

} // namespace hibiscushold
