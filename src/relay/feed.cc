#include "relay/feed.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Deletions kept for followers that come back; a follower that misses more
/// takes a whole listing. Several minutes of an ordinary day.
constexpr size_t kMostDeletions = 1024;

void
NoteDeletion(Feed& aFeed, const std::string& aKey, uint64_t aRevision)
{
  aFeed.mObjects.erase(aKey);
  aFeed.mDeletions.push_back({ aKey, aRevision });
  if (aFeed.mDeletions.size() > kMostDeletions) {
    aFeed.mFrom = aFeed.mDeletions.front().mRevision;
    aFeed.mDeletions.pop_front();
  }
}

void
NoteObject(Feed& aFeed, const Object& aObject)
{
  std::erase_if(aFeed.mDeletions,
                [&](const Deletion& it) { return it.mKey == aObject.mKey; });
  aFeed.mObjects[aObject.mKey] = aObject;
}

void
NoteAnswer(Feed& aFeed, uint64_t aRevision, TimePoint aProvenAt)
{
  aFeed.mRevision = std::max(aFeed.mRevision, aRevision);
  aFeed.mProvenAt = std::max(aFeed.mProvenAt, aProvenAt);
  aFeed.mLostFrom.reset();
}

} // namespace

void
TakeWhole(Feed& aFeed, const Listing& aListing, TimePoint aProvenAt)
{
  if (aListing.mRevision < aFeed.mRevision) {
    return;
  }
  if (aFeed.mRevision == 0) {
    aFeed.mFrom = aListing.mRevision;
  }
  std::map<std::string, Object> before = std::move(aFeed.mObjects);
  aFeed.mObjects.clear();
  for (const Object& it : aListing.mObjects) {
    NoteObject(aFeed, it);
    before.erase(it.mKey);
  }
  for (const auto& [key, object] : before) {
    NoteDeletion(aFeed, key, aListing.mRevision);
  }
  NoteAnswer(aFeed, aListing.mRevision, aProvenAt);
}

void
TakeChanges(Feed& aFeed, const Listing& aChanges, TimePoint aProvenAt)
{
  for (const std::string& it : aChanges.mDeleted) {
    NoteDeletion(aFeed, it, aChanges.mRevision);
  }
  for (const Object& it : aChanges.mObjects) {
    NoteObject(aFeed, it);
  }
  NoteAnswer(aFeed, aChanges.mRevision, aProvenAt);
}

std::optional<Listing>
ChangesSince(const Feed& aFeed, uint64_t aSince)
{
  if (aFeed.mRevision == 0 || aSince < aFeed.mFrom) {
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
WholeOf(const Feed& aFeed)
{
  Listing listing;
  listing.mRevision = aFeed.mRevision;
  for (const auto& [key, object] : aFeed.mObjects) {
    listing.mObjects.push_back(object);
  }
  return listing;
}

} // namespace hibiscushold
