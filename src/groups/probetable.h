#pragma once

#include "core/clock.h"
#include "core/errors.h"
#include "groups/domain.h"
#include "groups/slicereports.h"

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hibiscushold {

/// The status that an engine reports.
struct EngineStatus
{
  std::string mIncarnation;
  std::string mGroup; ///< empty when it belongs to no group
  uint64_t mGeneration = 0;
  std::string mModel;
  bool mReady = false; ///< the model is loaded
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
};

/// The result of a successful probe.
struct ProbeResult
{
  EngineStatus mStatus;
  TimePoint mProbedAt; ///< when the probe was sent
};

/// The latest probe result of each VM, and the reports on slices of groups.
/// Thread-safe; the results are sharded, with one lock per shard.
class ProbeTable
{
public:
  /// Stores a probe result unless the stored one was sent at the same time
  /// or later.
  void Record(const std::string& aVm, const ProbeResult& aProbe);

  /// @return the latest probe result of the VM, or nullopt
  std::optional<ProbeResult> Find(const std::string& aVm) const;

  /// The reports of this node and other members on whole slices of groups.
  SliceReportTable& SliceReports() { return mSliceReports; }
  const SliceReportTable& SliceReports() const { return mSliceReports; }

private:
  static constexpr size_t kShards = 16;

  struct Shard
  {
    mutable std::mutex mLock;
    std::map<std::string, ProbeResult> mProbes;
  };

  Shard& ShardOf(const std::string& aVm);
  const Shard& ShardOf(const std::string& aVm) const;

  std::array<Shard, kShards> mShards;
  SliceReportTable mSliceReports;
};

/// @return whether the probe result is younger than aMaxAge at aNow and
///         reports the member as ready in this generation of its group
bool
IsMemberReady(const ProbeResult& aProbe,
              const Group& aGroup,
              const GroupMember& aMember,
              TimePoint aNow,
              Duration aMaxAge);

/// @return when the oldest of the members' probes was sent, or nullopt unless
///         all members are ready (see IsMemberReady)
std::optional<TimePoint>
FindOldestProbe(const Group& aGroup,
                std::span<const GroupMember> aMembers,
                const ProbeTable& aTable,
                TimePoint aNow,
                Duration aMaxAge);

/// @return whether the group is in the serving phase and every member is
///         ready, according to a report on its slice or to this node's probes
bool
IsGroupServing(const Group& aGroup,
               const ProbeTable& aTable,
               TimePoint aNow,
               Duration aMaxAge);

/// Parses the body of an engine's status reply.
/// @return the status, or ReplyInvalid when the text is malformed
Result<EngineStatus>
ParseEngineStatus(std::string_view aText);

} // namespace hibiscushold
