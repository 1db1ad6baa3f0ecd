#include "relay/feed.h"

#include "store/revision.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Deletions kept for followers that reconnect; a follower that missed more has
/// to list all objects again. Covers several minutes of ordinary load.
constexpr size_t kMaxDeletions = 1024;
/// Deleted objects whose contents are kept in case the store loses the
/// deletion.
constexpr size_t kMaxDeletedObjects = 256;
/// The store removes entries that are not renewed within a few seconds.
constexpr auto kWithholdTime = milliseconds(10000);

void
RecordDeletion(Feed& aFeed, const std::string& aKey, uint64_t aRevision)
{
  const auto it = aFeed.mObjects.find(aKey);
  if (it != aFeed.mObjects.end()) {
    std::deque<Object>& deleted = aFeed.mRestored.mDeleted;
    deleted.push_back(std::move(it->second));
    aFeed.mObjects.erase(it);
    if (deleted.size() > kMaxDeletedObjects) {
      deleted.pop_front();
    }
  }
  aFeed.mDeletions.push_back({ aKey, aRevision });
  if (aFeed.mDeletions.size() > kMaxDeletions) {
    aFeed.mHistoryFrom = aFeed.mDeletions.front().mRevision;
    aFeed.mDeletions.pop_front();
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

/// Keeps the known contents when the first read of a later era arrives.
void
KeepEarlier(Feed& aFeed, TimePoint aConfirmedAt)
{
  RestoredObjects& restored = aFeed.mRestored;
  for (const auto& [key, object] : aFeed.mObjects) {
    restored.mEarlier.insert_or_assign(key, object);
    restored.mEarlierDeleted.erase(key);
  }
  for (Object& it : restored.mDeleted) {
    if (!aFeed.mObjects.contains(it.mKey)) {
      restored.mEarlier.erase(it.mKey);
      restored.mEarlierDeleted.insert_or_assign(it.mKey, std::move(it));
    }
  }
  restored.mDeleted.clear();
  restored.mWithheld.clear();
  restored.mWithholdUntil = aConfirmedAt + kWithholdTime;
}

std::partial_ordering
Compare(const Object& aL, const Object& aR, const ContentOrder& aOrder)
{
  return aOrder ? aOrder(aL, aR) : std::partial_ordering::unordered;
}

/// Withholds aRead if it is a deleted object that has only been restored.
/// @return whether it is withheld
bool
Withhold(RestoredObjects& aRestored,
         const Object& aRead,
         const ContentOrder& aOrder)
{
  aRestored.mWithheld.erase(aRead.mKey);
  const auto it = aRestored.mEarlierDeleted.find(aRead.mKey);
  if (it == aRestored.mEarlierDeleted.end()) {
    return false;
  }
  if (std::is_lteq(Compare(aRead, it->second, aOrder))) {
    aRestored.mWithheld.insert_or_assign(aRead.mKey, aRead);
    return true;
  }
  aRestored.mEarlierDeleted.erase(it);
  return false;
}

/// Gives aRead its last known content if it is older than that.
void
RenewContent(RestoredObjects& aRestored,
             Object& aRead,
             const ContentOrder& aOrder)
{
  const auto it = aRestored.mEarlier.find(aRead.mKey);
  if (it == aRestored.mEarlier.end()) {
    return;
  }
  if (std::is_lt(Compare(aRead, it->second, aOrder))) {
    aRead.mValue = it->second.mValue;
  } else {
    aRestored.mEarlier.erase(it);
  }
}

/// Ends the withholding: the withheld objects are added to aRead as changed.
void
AddWithheld(RestoredObjects& aRestored, Listing& aRead)
{
  for (auto& [key, object] : aRestored.mWithheld) {
    object.mVersion = aRead.mRevision;
    aRead.mObjects.push_back(std::move(object));
  }
  aRestored.mWithheld.clear();
  aRestored.mEarlierDeleted.clear();
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
CorrectRestored(Feed& aFeed,
                Listing aRead,
                const ContentOrder& aOrder,
                TimePoint aConfirmedAt)
{
  if (aFeed.mRevision != 0 && EraOf(aRead.mRevision) > EraOf(aFeed.mRevision)) {
    KeepEarlier(aFeed, aConfirmedAt);
  }
  RestoredObjects& restored = aFeed.mRestored;
  for (const std::string& it : aRead.mDeleted) {
    restored.mWithheld.erase(it);
  }
  std::erase_if(aRead.mObjects, [&](const Object& it) {
    return Withhold(restored, it, aOrder);
  });
  for (Object& it : aRead.mObjects) {
    RenewContent(restored, it, aOrder);
  }
  if (aConfirmedAt >= restored.mWithholdUntil) {
    AddWithheld(restored, aRead);
  }
  return aRead;
}

void
ApplySnapshot(Feed& aFeed, const Listing& aListing, TimePoint aConfirmedAt)
{
  if (aListing.mRevision < aFeed.mRevision) {
    return;
  }
  RecordGap(aFeed, aListing.mRevision);
  std::map<std::string, Object> missing = std::move(aFeed.mObjects);
  aFeed.mObjects.clear();
  for (const Object& it : aListing.mObjects) {
    RecordObject(aFeed, it);
    missing.erase(it.mKey);
  }
  for (const auto& [key, object] : missing) {
    RecordDeletion(aFeed, key, aListing.mRevision);
  }
  RecordRead(aFeed, aListing.mRevision, aConfirmedAt);
}

void
ApplyChanges(Feed& aFeed, const Listing& aChanges, TimePoint aConfirmedAt)
{
  if (EraOf(aChanges.mRevision) != EraOf(aFeed.mRevision)) {
    return;
  }
  for (const std::string& it : aChanges.mDeleted) {
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
