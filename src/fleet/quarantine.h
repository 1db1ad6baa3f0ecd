#pragma once

#include "fleet/crashevidence.h"
#include "fleet/soundtraits.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>

namespace hibiscushold {

/// A crash as nodes report it to each other.
struct CrashNotice
{
  TraitId mTrait = 0;
  uint8_t mRank = 0;
  bool mWasAnswered = false; ///< see Suspect
  Crash mCrash;
};

/// Identifies one start of a VM.
/// @param aStartedMillis start of the VM, Unix time in milliseconds
uint64_t
TargetStartId(std::string_view aVmId, uint64_t aStartedMillis);

/// Finds out which requests crash targets, and keeps them away from further
/// ones for a time. Nodes exchange what they saw and merge it in any order and
/// any number of times, so that all come to the same result. Thread-safe.
class Quarantine
{
public:
  /// Records that a target ended while a request was at it.
  /// @param aTarget see TargetStartId
  /// @param aBeganAt when the answer began, if it had
  void RecordCrash(const RequestTraits& aTraits,
                   uint64_t aTarget,
                   std::optional<TimePoint> aBeganAt,
                   TimePoint aNow);

  /// Records a complete answer, which shows that the traits of its request
  /// crashed no target when the answer began.
  void RecordAnswer(const RequestTraits& aTraits,
                    TimePoint aBeganAt,
                    TimePoint aNow);

  /// Records a response of a target to a request that was sent at aSentAt,
  /// which shows that the target had not ended by then.
  void RecordAlive(uint64_t aTarget, TimePoint aSentAt, TimePoint aNow);

  /// Merges what another node reports.
  void Merge(std::span<const CrashNotice> aNotices, TimePoint aNow);

  /// Forgets old crashes, and quarantines traits that had time to be refuted.
  /// To be called several times a second.
  void Refresh(TimePoint aNow);

  /// @return when requests with these traits may be sent to targets again, or
  ///         nothing if they may be sent now
  std::optional<TimePoint> EndOfQuarantine(const RequestTraits& aTraits) const;

  /// Lets a single request with quarantined traits through after a while, so
  /// that a sound trait can show it. Among all nodes one makes trials.
  /// @return whether the request may be sent to one target
  bool TryTrial(const RequestTraits& aTraits, TimePoint aNow);

  /// Sets whether this node makes trials.
  void SetMakesTrials(bool aMakesTrials) { mMakesTrials = aMakesTrials; }

  /// @return the crashes of the traits for which something changed since aSince
  std::vector<CrashNotice> ChangesSince(TimePoint aSince) const;

  /// @return some crashes of the traits that are quarantined or close to it,
  ///         for nodes that start or have missed reports
  std::vector<CrashNotice> StrongEvidence() const;

  /// @return the number of traits that are quarantined
  size_t CountQuarantined() const { return mCulpritCount; }

  /// Suspects that are remembered at the same time.
  static constexpr size_t kMaxSuspects = 1536;

private:
  /// The quarantine of one trait.
  struct Confinement
  {
    TimePoint mEnd; ///< unless further crashes extend it
    TimePoint mNextTrialAt;
    uint32_t mTrials = 0;
  };

  /// @return the quarantined ones of the traits
  std::vector<TraitId> QuarantinedOf(const RequestTraits& aTraits) const;
  /// Adds a crash to a suspect, or merges it with what is known of the target.
  void Add(const CrashNotice& aNotice, TimePoint aNow);
  /// Forgets the suspect with the least evidence against it.
  void MakeRoom();
  /// Refutes the crashes of a suspect for which aApplies returns true.
  /// @return whether there were any
  template<class Predicate>
  bool Refute(TraitId aTrait, Predicate aApplies, TimePoint aNow);
  /// Finds the culprits anew, and logs which are new or no longer quarantined.
  void UpdateCulprits(TimePoint aNow);

  /// @return where answers to requests with a trait of the rank are remembered
  SoundTraits& SoundTraitsOf(uint8_t aRank);

  mutable std::mutex mLock; ///< guards the members below, but not the counts
  Suspects mSuspects;
  std::map<TraitId, TimePoint> mChangedAt; ///< latest change of each suspect
  std::set<uint64_t> mEndedTargets;        ///< that have crashes not refuted
  std::map<TraitId, Confinement> mCulprits;
  std::atomic<bool> mMakesTrials{ false };
  std::atomic<size_t> mSuspectCount{ 0 }; ///< spares most requests the lock
  std::atomic<size_t> mCulpritCount{ 0 };
  SoundTraits mSoundParts;
  SoundTraits mSoundResources;
  SoundTraits mSoundContents;
};

} // namespace hibiscushold
