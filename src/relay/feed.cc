#include "relay/feed.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Deletions kept for followers that reconnect; a follower that missed more has
/// to list all objects again. Covers several minutes of ordinary load.
constexpr size_t kMaxDeletions = 1024;

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

} // namespace

void
ApplySnapshot(Feed& aFeed, const Listing& aListing, TimePoint aConfirmedAt)
{
  if (aListing.mRevision < aFeed.mRevision) {
    return;
  }
  if (aFeed.mRevision == 0) {
    aFeed.mHistoryFrom = aListing.mRevision;
  }
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
  if (aFeed.mRevision == 0 || aSince < aFeed.mHistoryFrom) {
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
