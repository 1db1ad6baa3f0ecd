#pragma once

#include "emulator/scenario.h"
#include "emulator/target.h"

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace hibiscushold::emulator {

/// The targets of all services. They write their entries in the store at
/// intervals, and again if the store has lost them. Thread-safe.
class Targets
{
public:
  Targets(const Scenario& aScenario,
          Store& aStore,
          const Timeline& aTimeline,
          Recorder& aRecorder);

  /// A target leaves, and another of its service starts at a free address,
  /// which a target of another service may have had.
  void ReplaceOne();

  /// The targets of a zone turn cold. Their entries show it with their next
  /// reports.
  void TurnCold(const std::string& aZone);

  /// Some addresses spoil their answers from now on.
  /// @param aFault None for sound answers everywhere
  /// @param aShare of the targets, drawn anew
  void SpoilAnswers(AnswerFault aFault, double aShare);

  /// The store executes some of the targets' reports seconds late.
  void SetReportsLate(bool aAreLate);

  /// Another writer leaves an entry, which expires as those of silent targets
  /// do.
  void LeaveOddEntry(const Json::Value& aEntry);

  /// Writes and removes the entries that are due.
  /// @param aIsStoreAway whether the store takes no writes
  void Sync(bool aIsStoreAway);

private:
  /// A place for a target, and what is due there.
  struct Place
  {
    std::unique_ptr<TargetAddress> mAddress;
    std::string mZone;
    int64_t mNextBeatAt = 0;
    int64_t mEndsAt = 0;   ///< of a target that leaves
    int64_t mFreeFrom = 0; ///< another target may start here from this time
    bool mIsLeavingAcked = false;
    int64_t mRestartsAt = 0; ///< after a crash
    std::optional<size_t> mRestartedService{};
  };

  /// A report that the store has not executed yet.
  struct LateReport
  {
    std::string mTarget;
    Json::Value mEntry;
    bool mSaysLeaving = false;
  };

  /// When an entry without a living target was first seen.
  using Orphans = std::map<std::string, int64_t>;

  void StartAt(Place& aPlace, size_t aService, int64_t aColdUntil);
  /// @return until when a target is cold that turns cold now, 0 if none does
  int64_t ColdUntil() const;
  void SyncPlace(Place& aPlace, bool aIsStoreAway);
  void Report(Place& aPlace, const Target& aTarget);
  /// The store executes a report, and answers the target if it waits for that.
  void Execute(const LateReport& aReport);
  void RemoveOrphans();
  Place* FindFree();

  Store& mStore;
  const bool mAreColdFirst; ///< targets that start during the run
  const Timeline& mTimeline;
  Recorder& mRecorder;
  std::mutex mLock; ///< guards the members below
  std::mt19937_64 mRandom;
  uint64_t mNextId = 1;
  std::vector<Place> mPlaces;
  Orphans mOrphans;
  bool mAreReportsLate = false;
  std::multimap<int64_t, LateReport> mLateReports; ///< by time of execution
};

} // namespace hibiscushold::emulator
