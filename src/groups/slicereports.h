#pragma once

#include "core/clock.h"
#include "groups/domain.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace hibiscushold {

/// Maximum number of members in a slice, the part of a group that is probed and
/// reported as a unit.
inline constexpr size_t kSliceVms = 16;

/// Report that every member of a slice of a group is ready in this generation
/// with the incarnations covered by the digest.
struct SliceReport
{
  std::string mGroup;
  uint32_t mSlice = 0;
  uint64_t mGeneration = 0;
  std::string mDigest;   ///< see DigestOf
  TimePoint mProbedAt;   ///< when the oldest of its probes was sent
  uint32_t mRunning = 0; ///< running requests of the slice's first member
  uint32_t mQueued = 0;  ///< queued requests of the slice's first member

  bool operator==(const SliceReport&) const = default;
};

/// @return the members of the slice, in order of rank
std::span<const GroupMember>
SliceOf(const Group& aGroup, uint32_t aSlice);

/// @return the number of slices of the group
uint32_t
CountSlices(const Group& aGroup);

/// @return a short hexadecimal digest of the members' VM ids and incarnations
std::string
DigestOf(std::span<const GroupMember> aMembers);

/// Reports that were recorded after a given serial number.
struct SliceReportBatch
{
  uint64_t mSerial = 0; ///< pass it to the next call to get later reports
  std::vector<SliceReport> mReports;
};

/// The latest report on each slice. Thread-safe.
class SliceReportTable
{
public:
  /// Stores a report unless the stored one is at least as recent.
  void Record(const SliceReport& aReport);

  /// @return the latest report on the slice, or nullopt
  std::optional<SliceReport> Find(const std::string& aGroup,
                                  uint32_t aSlice) const;

  /// Waits for at most aWait until a report with a serial above aSince exists.
  /// @return the reports with a serial above aSince; none after a timeout
  SliceReportBatch WaitForNewer(uint64_t aSince, milliseconds aWait) const;

  /// Removes the reports whose oldest probe was sent before aBefore.
  void RemoveOlderThan(TimePoint aBefore);

private:
  struct Entry
  {
    uint64_t mSerial = 0;
    SliceReport mReport;
  };

  mutable std::mutex mLock;
  mutable std::condition_variable mRecorded;
  uint64_t mSerial = 0;
  std::map<std::pair<std::string, uint32_t>, Entry> mEntries;
};

/// @return whether the report is younger than aMaxAge at aNow and covers the
///         group's current generation and the current members of its slice
bool
IsSliceReady(const SliceReport& aReport,
             const Group& aGroup,
             TimePoint aNow,
             Duration aMaxAge);

} // namespace hibiscushold
