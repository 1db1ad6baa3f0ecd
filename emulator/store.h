#pragma once

#include "emulator/timeline.h"

#include <json/value.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold::emulator {

/// An object of one kind.
struct StoredObject
{
  std::string mName;
  uint64_t mRevision = 0;
  Json::Value mSpec;
};

/// A change of one object.
struct StoreChange
{
  int64_t mAtMillis = 0;
  std::string mKind;
  StoredObject mObject;
  bool mDeleted = false;
};

/// Result of a write.
struct WriteResult
{
  enum class Status
  {
    Done,
    Conflict, ///< the object has another revision, or exists already
    Missing,
  };
  Status mStatus = Status::Done;
  StoredObject mObject; ///< as it is after the call
  uint64_t mEra = 0;
};

/// Result of a read.
struct ReadResult
{
  uint64_t mEra = 0;
  uint64_t mRevision = 0; ///< of the store
  std::vector<StoredObject> mObjects;
  std::vector<StoreChange> mChanges;
  bool mHistoryGone = false;
};

/// The contents of the platform's store, which can return from an older copy.
/// Everything follows from the log of changes. Thread-safe.
class Store
{
public:
  Store(const Timeline& aTimeline, uint64_t aEra, uint64_t aFirstRevision);

  /// @param aName empty for all objects of the kind
  ReadResult Read(std::string_view aKind, std::string_view aName) const;

  /// Reads the objects as they were at an earlier time.
  /// @param aAsOf time of the timeline in ms
  ReadResult ReadStale(std::string_view aKind,
                       std::string_view aName,
                       int64_t aAsOf) const;

  /// Waits for changes after a revision.
  /// @param aUntil time of the timeline in ms
  ReadResult Watch(std::string_view aKind, uint64_t aSince, int64_t aUntil);

  /// Creates the object, or fails with a conflict.
  WriteResult Create(std::string_view aKind,
                     std::string_view aName,
                     const Json::Value& aSpec);

  /// Creates or replaces the object.
  /// @param aRevision the object's revision, or nothing for any
  WriteResult Put(std::string_view aKind,
                  std::string_view aName,
                  const Json::Value& aSpec,
                  std::optional<uint64_t> aRevision);

  WriteResult Delete(std::string_view aKind,
                     std::string_view aName,
                     std::optional<uint64_t> aRevision);

  /// Returns to the state at an earlier time: the era rises by one, and the
  /// revisions of the changes that are lost are used again.
  /// @param aAsOf time of the timeline in ms
  void ReturnTo(int64_t aAsOf);

  /// Discards the history: watches from earlier revisions fail.
  void ForgetHistory();

private:
  using Objects =
    std::map<std::string, std::map<std::string, StoredObject>, std::less<>>;

  const StoredObject* Find(std::string_view aKind,
                           std::string_view aName) const;
  static void Apply(Objects& aObjects, const StoreChange& aChange);
  static std::vector<StoredObject> Select(const Objects& aObjects,
                                          std::string_view aKind,
                                          std::string_view aName);
  StoredObject Append(std::string_view aKind,
                      std::string_view aName,
                      const Json::Value& aSpec,
                      bool aDeleted);

  const Timeline& mTimeline;
  mutable std::mutex mLock; ///< guards the members below
  std::condition_variable mChanged;
  uint64_t mEra;
  const uint64_t mFirstRevision;
  uint64_t mRevision;
  uint64_t mHistoryFrom = 0;
  std::vector<StoreChange> mLog;
  Objects mObjects;
};

} // namespace hibiscushold::emulator
