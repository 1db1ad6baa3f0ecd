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
SliceReportTable::Record(const SliceReport& aReport)
{
  {
    const std::lock_guard guard(mLock);
    Entry& entry = mEntries[{ aReport.mGroup, aReport.mSlice }];
    if (entry.mSerial != 0 && aReport.mProbedAt <= entry.mReport.mProbedAt) {
      return;
    }
    entry = { ++mSerial, aReport };
  }
  mRecorded.notify_all();
}

std::optional<SliceReport>
SliceReportTable::Find(const std::string& aGroup, uint32_t aSlice) const
{
  const std::lock_guard guard(mLock);
  const auto it = mEntries.find({ aGroup, aSlice });
  return it == mEntries.end() ? std::nullopt
                              : std::optional(it->second.mReport);
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
      batch.mReports.push_back(entry.mReport);
    }
  }
  return batch;
}

void
SliceReportTable::RemoveOlderThan(TimePoint aBefore)
{
  const std::lock_guard guard(mLock);
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aEntry.second.mReport.mProbedAt < aBefore;
  });
}

bool
IsSliceReady(const SliceReport& aReport,
             const Group& aGroup,
             TimePoint aNow,
             Duration aMaxAge)
{
  return aNow < aReport.mProbedAt + aMaxAge && aReport.mGroup == aGroup.mId &&
         aReport.mGeneration == aGroup.mGeneration &&
         aReport.mDigest == DigestOf(SliceOf(aGroup, aReport.mSlice));
}

} // namespace hibiscushold
