#include "groups/slicereports.h"

#include "core/ids.h"

#include <algorithm>

namespace hibiscushold {

namespace {

constexpr size_t kDigestChars = 16;

} // namespace

std::span<const GroupMember>
SliceOf(const Group& aGroup, uint32_t aSlice)
{
  const size_t from = std::min(aGroup.mMembers.size(), aSlice * kSliceVms);
  const size_t n = std::min(aGroup.mMembers.size() - from, kSliceVms);
  return std::span(aGroup.mMembers).subspan(from, n);
}

uint32_t
CountSlices(const Group& aGroup)
{
  return static_cast<uint32_t>((aGroup.mMembers.size() + kSliceVms - 1) /
                               kSliceVms);
}

std::string
DigestOf(std::span<const GroupMember> aMembers)
{
  std::string text;
  for (const GroupMember& it : aMembers) {
    text += it.mVm + "\n" + it.mIncarnation + "\n";
  }
  return Sha256Hex(text).substr(0, kDigestChars);
}

void
SliceReportTable::Record(const SliceReport& aFinding)
{
  {
    const std::lock_guard guard(mLock);
    Entry& entry = mEntries[{ aFinding.mGroup, aFinding.mSlice }];
    if (entry.mSerial != 0 && aFinding.mProbedAt <= entry.mFinding.mProbedAt) {
      return;
    }
    entry = { ++mSerial, aFinding };
  }
  mRecorded.notify_all();
}

std::optional<SliceReport>
SliceReportTable::Find(const std::string& aGroup, uint32_t aSlice) const
{
  const std::lock_guard guard(mLock);
  const auto it = mEntries.find({ aGroup, aSlice });
  return it == mEntries.end() ? std::nullopt
                              : std::optional(it->second.mFinding);
}

SliceReportBatch
SliceReportTable::WaitForNewer(uint64_t aSince, milliseconds aWait) const
{
  std::unique_lock guard(mLock);
  mRecorded.wait_for(guard, aWait, [&] { return mSerial > aSince; });
  SliceReportBatch batch;
  batch.mSerial = mSerial;
  for (const auto& [key, entry] : mEntries) {
    if (entry.mSerial > aSince) {
      batch.mFindings.push_back(entry.mFinding);
    }
  }
  return batch;
}

void
SliceReportTable::RemoveOlderThan(TimePoint aBefore)
{
  const std::lock_guard guard(mLock);
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aEntry.second.mFinding.mProbedAt < aBefore;
  });
}

bool
IsSliceReady(const SliceReport& aFinding,
             const Group& aGroup,
             TimePoint aNow,
             Duration aMaxAge)
{
  return aNow < aFinding.mProbedAt + aMaxAge && aFinding.mGroup == aGroup.mId &&
         aFinding.mGeneration == aGroup.mGeneration &&
         aFinding.mDigest == DigestOf(SliceOf(aGroup, aFinding.mSlice));
}

} // namespace hibiscushold
