#include "emulator/store.h"

#include <algorithm>

namespace hibiscushold::emulator {

Store::Store(const Timeline& aTimeline, uint64_t aEra, uint64_t aFirstRevision)
  : mTimeline(aTimeline)
  , mEra(aEra)
  , mFirstRevision(aFirstRevision)
  , mRevision(aFirstRevision)
{
}

const StoredObject*
Store::Find(std::string_view aKind, std::string_view aName) const
{
  const auto kind = mObjects.find(aKind);
  if (kind == mObjects.end()) {
    return nullptr;
  }
  const auto it = kind->second.find(std::string(aName));
  return it == kind->second.end() ? nullptr : &it->second;
}

void
Store::Apply(Objects& aObjects, const StoreChange& aChange)
{
  auto& objects = aObjects[aChange.mKind];
  if (aChange.mDeleted) {
    objects.erase(aChange.mObject.mName);
  } else {
    objects[aChange.mObject.mName] = aChange.mObject;
  }
}

StoredObject
Store::Append(std::string_view aKind,
              std::string_view aName,
              const Json::Value& aSpec,
              bool aDeleted)
{
  StoredObject object{ std::string(aName), ++mRevision, aSpec };
  mLog.push_back({ mTimeline.Now(), std::string(aKind), object, aDeleted });
  Apply(mObjects, mLog.back());
  mChanged.notify_all();
  return object;
}

std::vector<StoredObject>
Store::Select(const Objects& aObjects,
              std::string_view aKind,
              std::string_view aName)
{
  std::vector<StoredObject> selected;
  const auto kind = aObjects.find(aKind);
  if (kind == aObjects.end()) {
    return selected;
  }
  for (const auto& [name, object] : kind->second) {
    if (aName.empty() || name == aName) {
      selected.push_back(object);
    }
  }
  return selected;
}

ReadResult
Store::Read(std::string_view aKind, std::string_view aName) const
{
  const std::lock_guard guard(mLock);
  return { mEra, mRevision, Select(mObjects, aKind, aName), {}, false };
}

ReadResult
Store::ReadStale(std::string_view aKind,
                 std::string_view aName,
                 int64_t aAsOf) const
{
  const std::lock_guard guard(mLock);
  uint64_t revision = mFirstRevision;
  Objects objects;
  for (const StoreChange& it : mLog) {
    if (it.mAtMillis <= aAsOf) {
      Apply(objects, it);
      revision = it.mObject.mRevision;
    }
  }
  return { mEra, revision, Select(objects, aKind, aName), {}, false };
}

ReadResult
Store::Watch(std::string_view aKind, uint64_t aSince, int64_t aUntil)
{
  std::unique_lock guard(mLock);
  for (;;) {
    ReadResult result{ mEra, mRevision, {}, {}, false };
    if (aSince > mRevision || aSince < mHistoryFrom) {
      result.mHistoryGone = true;
      return result;
    }
    for (const StoreChange& it : mLog) {
      if (it.mKind == aKind && it.mObject.mRevision > aSince) {
        result.mChanges.push_back(it);
      }
    }
    const int64_t left = aUntil - mTimeline.Now();
    if (!result.mChanges.empty() || left <= 0) {
      return result;
    }
    mChanged.wait_for(guard, milliseconds(left));
  }
}

WriteResult
Store::Create(std::string_view aKind,
              std::string_view aName,
              const Json::Value& aSpec)
{
  const std::lock_guard guard(mLock);
  if (const StoredObject* found = Find(aKind, aName)) {
    return { WriteResult::Status::Conflict, *found, mEra };
  }
  return { WriteResult::Status::Done,
           Append(aKind, aName, aSpec, false),
           mEra };
}

WriteResult
Store::Put(std::string_view aKind,
           std::string_view aName,
           const Json::Value& aSpec,
           std::optional<uint64_t> aRevision)
{
  const std::lock_guard guard(mLock);
  const StoredObject* found = Find(aKind, aName);
  if (aRevision && found == nullptr) {
    return { WriteResult::Status::Missing, {}, mEra };
  }
  if (aRevision && found->mRevision != *aRevision) {
    return { WriteResult::Status::Conflict, *found, mEra };
  }
  if (found != nullptr && found->mSpec == aSpec) {
    return { WriteResult::Status::Done, *found, mEra };
  }
  return { WriteResult::Status::Done,
           Append(aKind, aName, aSpec, false),
           mEra };
}

WriteResult
Store::Delete(std::string_view aKind,
              std::string_view aName,
              std::optional<uint64_t> aRevision)
{
  const std::lock_guard guard(mLock);
  const StoredObject* found = Find(aKind, aName);
  if (found == nullptr) {
    return { WriteResult::Status::Missing, {}, mEra };
  }
  if (aRevision && found->mRevision != *aRevision) {
    return { WriteResult::Status::Conflict, *found, mEra };
  }
  return { WriteResult::Status::Done, Append(aKind, aName, {}, true), mEra };
}

void
Store::ReturnTo(int64_t aAsOf)
{
  const std::lock_guard guard(mLock);
  std::erase_if(
    mLog, [aAsOf](const StoreChange& it) { return it.mAtMillis > aAsOf; });
  ++mEra;
  mRevision = mLog.empty() ? mFirstRevision : mLog.back().mObject.mRevision;
  mHistoryFrom = std::min(mHistoryFrom, mRevision);
  mObjects.clear();
  for (const StoreChange& it : mLog) {
    Apply(mObjects, it);
  }
  mChanged.notify_all();
}

void
Store::ForgetHistory()
{
  const std::lock_guard guard(mLock);
  mHistoryFrom = mRevision;
  mChanged.notify_all();
}

} // namespace hibiscushold::emulator
