#include "relay/feed.h"

#include "store/revision.h"

#include <algorithm>
#include <set>

namespace hibiscushold {

namespace {

/// Deletions kept for followers that reconnect; a follower that missed more has
/// to list all objects again. Covers several minutes of ordinary load.
constexpr size_t kMaxDeletions = 1024;
/// Deleted objects whose contents are kept in case the store loses the
/// deletion.
constexpr size_t kMaxDeletedObjects = 256;
/// Within this time after a return of the store, lost contents are written
/// again and entries that nobody renews are removed.
constexpr auto kRestoreTime = milliseconds(10000);

void
RecordDeletion(Feed& aFeed, const std::string& aKey, uint64_t aRevision)
{
  aFeed.mObjects.erase(aKey);
  aFeed.mDeletions.push_back({ aKey, aRevision });
  if (aFeed.mDeletions.size() > kMaxDeletions) {
    aFeed.mHistoryFrom = aFeed.mDeletions.front().mRevision;
    aFeed.mDeletions.pop_front();
  }
}

/// Keeps the content of an object that is about to be deleted.
void
KeepDeleted(Feed& aFeed, const std::string& aKey)
{
  const auto it = aFeed.mObjects.find(aKey);
  if (it == aFeed.mObjects.end()) {
    return;
  }
  std::deque<Object>& deleted = aFeed.mRestored.mDeleted;
  deleted.push_back(it->second);
  if (deleted.size() > kMaxDeletedObjects) {
    deleted.pop_front();
  }
}

void
RecordObject(Feed& aFeed, const Object& aObject)
{
  std::erase_if(aFeed.mDeletions,
                [&](const Deletion& it) { return it.mKey == aObject.mKey; });
  aFeed.mObjects[aObject.mKey] = aObject;
}

void
RecordRead(Feed& aFeed, uint64_t aRevision, TimePoint aConfirmedAt)
{
  aFeed.mRevision = std::max(aFeed.mRevision, aRevision);
  aFeed.mConfirmedAt = std::max(aFeed.mConfirmedAt, aConfirmedAt);
  aFeed.mUnavailableFrom.reset();
}

/// Begins to withhold deleted objects when the first read of a later era
/// arrives.
void
BeginRestore(Feed& aFeed, TimePoint aConfirmedAt)
{
  aFeed.mRestored.mWithheld.clear();
  aFeed.mRestored.mRestoredUntil = aConfirmedAt + kRestoreTime;
}

std::optional<WriteOrder>
OrderOf(const Object& aObject, const WriteOrderReader& aOrderOf)
{
  return aOrderOf ? aOrderOf(aObject) : std::nullopt;
}

/// Withholds aRead if it is a deleted object that has only been restored.
/// @return whether it is withheld
bool
Withhold(RestoredObjects& aRestored,
         const Object& aRead,
         const WriteOrderReader& aOrderOf)
{
  aRestored.mWithheld.erase(aRead.mKey);
  const std::optional<WriteOrder> order = OrderOf(aRead, aOrderOf);
  for (const Object& it : aRestored.mDeleted) {
    if (it.mKey != aRead.mKey) {
      continue;
    }
    const std::optional<WriteOrder> deleted = OrderOf(it, aOrderOf);
    if (order && deleted && !(*deleted < *order)) {
      aRestored.mWithheld.insert_or_assign(it.mKey, it);
    }
  }
  return aRestored.mWithheld.contains(aRead.mKey);
}

/// Replaces outdated contents, and leaves out outdated objects that the feed
/// doesn't have.
void
CorrectContents(Feed& aFeed,
                Listing& aRead,
                const WriteOrderReader& aOrderOf,
                TimePoint aConfirmedAt)
{
  std::vector<Object> corrected;
  corrected.reserve(aRead.mObjects.size());
  for (Object& it : aRead.mObjects) {
    const std::optional<WriteOrder> order = OrderOf(it, aOrderOf);
    if (order && IsOutdated(aFeed.mWrites, it, *order, aConfirmedAt)) {
      if (!aFeed.mObjects.contains(it.mKey)) {
        continue;
      }
      it.mValue = aFeed.mWrites.at(it.mKey).mValue;
    }
    corrected.push_back(std::move(it));
  }
  aRead.mObjects = std::move(corrected);
}

/// Ends the withholding: withheld objects that aRead does not have are added to
/// it as changed, with their last known contents.
void
AddWithheld(RestoredObjects& aRestored, Listing& aRead)
{
  for (const Object& it : aRead.mObjects) {
    aRestored.mWithheld.erase(it.mKey);
  }
  for (auto& [key, object] : aRestored.mWithheld) {
    object.mVersion = aRead.mRevision;
    aRead.mObjects.push_back(std::move(object));
  }
  aRestored.mWithheld.clear();
}

/// Records that the changes before a listing at aRevision are not known.
void
RecordGap(Feed& aFeed, uint64_t aRevision)
{
  if (aFeed.mRevision == 0 || EraOf(aRevision) != EraOf(aFeed.mRevision)) {
    aFeed.mHistoryFrom = aRevision;
    return;
  }
  aFeed.mHistoryFrom = std::max(aFeed.mHistoryFrom, aFeed.mGapTo);
  aFeed.mGapFrom = aFeed.mRevision;
  aFeed.mGapTo = aRevision;
}

} // namespace

Listing
CorrectRead(Feed& aFeed,
            Listing aRead,
            bool aIsSnapshot,
            const WriteOrderReader& aOrderOf,
            TimePoint aConfirmedAt)
{
  // Also for the first read, as the store may have returned just before it.
  if (EraOf(aRead.mRevision) > EraOf(aFeed.mRevision)) {
    BeginRestore(aFeed, aConfirmedAt);
  }
  RestoredObjects& restored = aFeed.mRestored;
  if (aIsSnapshot) {
    restored.mWithheld.clear();
    ForgetOldWrites(
      aFeed.mWrites,
      [&](const std::string& aKey) { return aFeed.mObjects.contains(aKey); },
      aConfirmedAt);
  }
  for (const std::string& it : aRead.mDeleted) {
    restored.mWithheld.erase(it);
  }
  if (aConfirmedAt < restored.mRestoredUntil) {
    std::erase_if(aRead.mObjects, [&](const Object& it) {
      return Withhold(restored, it, aOrderOf);
    });
  } else {
    AddWithheld(restored, aRead);
  }
  CorrectContents(aFeed, aRead, aOrderOf, aConfirmedAt);
  return aRead;
}

void
ApplySnapshot(Feed& aFeed, const Listing& aListing, TimePoint aConfirmedAt)
{
  if (aListing.mRevision < aFeed.mRevision) {
    return;
  }
  const bool isRestored = EraOf(aListing.mRevision) != EraOf(aFeed.mRevision);
  RecordGap(aFeed, aListing.mRevision);
  std::set<std::string> missing;
  for (const auto& [key, object] : aFeed.mObjects) {
    missing.insert(key);
  }
  for (const Object& it : aListing.mObjects) {
    RecordObject(aFeed, it);
    missing.erase(it.mKey);
  }
  for (const std::string& it : missing) {
    // A restored store may only have lost the object.
    if (!isRestored) {
      KeepDeleted(aFeed, it);
    }
    RecordDeletion(aFeed, it, aListing.mRevision);
  }
  RecordRead(aFeed, aListing.mRevision, aConfirmedAt);
}

void
ApplyChanges(Feed& aFeed, const Listing& aChanges, TimePoint aConfirmedAt)
{
  // The feed has all changes up to its revision, which a later read has shown.
  if (EraOf(aChanges.mRevision) != EraOf(aFeed.mRevision) ||
      aChanges.mRevision < aFeed.mRevision) {
    return;
  }
  for (const std::string& it : aChanges.mDeleted) {
    KeepDeleted(aFeed, it);
    RecordDeletion(aFeed, it, aChanges.mRevision);
  }
  for (const Object& it : aChanges.mObjects) {
    RecordObject(aFeed, it);
  }
  RecordRead(aFeed, aChanges.mRevision, aConfirmedAt);
}

std::optional<Listing>
ChangesSince(const Feed& aFeed, uint64_t aSince)
{
  if (aFeed.mRevision == 0 || aSince < aFeed.mHistoryFrom ||
      (aSince > aFeed.mGapFrom && aSince < aFeed.mGapTo) ||
      EraOf(aSince) != EraOf(aFeed.mRevision)) {
    return std::nullopt;
  }
  Listing changes;
  changes.mRevision = std::max(aFeed.mRevision, aSince);
  for (const auto& [key, object] : aFeed.mObjects) {
    if (object.mVersion > aSince) {
      changes.mObjects.push_back(object);
    }
  }
  for (const Deletion& it : aFeed.mDeletions) {
    if (it.mRevision > aSince) {
      changes.mDeleted.push_back(it.mKey);
    }
  }
  return changes;
}

Listing
SnapshotOf(const Feed& aFeed)
{
  Listing listing;
  listing.mRevision = aFeed.mRevision;
  for (const auto& [key, object] : aFeed.mObjects) {
    listing.mObjects.push_back(object);
  }
  return listing;
}

} // namespace hibiscushold
