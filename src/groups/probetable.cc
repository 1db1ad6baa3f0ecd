#include "groups/probetable.h"

#include "core/json.h"

#include <algorithm>

namespace hibiscushold {

void
ProbeTable::Record(const std::string& aVm, const ProbeResult& aProbe)
{
  Shard& shard = ShardOf(aVm);
  const std::lock_guard guard(shard.mLock);
  const auto [it, added] = shard.mProbes.try_emplace(aVm, aProbe);
  if (!added && aProbe.mProbedAt > it->second.mProbedAt) {
    it->second = aProbe;
  }
}

std::optional<ProbeResult>
ProbeTable::Find(const std::string& aVm) const
{
  const Shard& shard = ShardOf(aVm);
  const std::lock_guard guard(shard.mLock);
  const auto it = shard.mProbes.find(aVm);
  if (it == shard.mProbes.end()) {
    return std::nullopt;
  }
  return it->second;
}

ProbeTable::Shard&
ProbeTable::ShardOf(const std::string& aVm)
{
  return mShards[std::hash<std::string>()(aVm) % kShards];
}

const ProbeTable::Shard&
ProbeTable::ShardOf(const std::string& aVm) const
{
  return mShards[std::hash<std::string>()(aVm) % kShards];
}

bool
IsMemberReady(const ProbeResult& aProbe,
              const Group& aGroup,
              const GroupMember& aMember,
              TimePoint aNow,
              Duration aMaxAge)
{
  const EngineStatus& status = aProbe.mStatus;
  return aNow < aProbe.mProbedAt + aMaxAge &&
         status.mIncarnation == aMember.mIncarnation &&
         status.mGroup == aGroup.mId &&
         status.mGeneration == aGroup.mGeneration && status.mReady;
}

std::optional<TimePoint>
FindOldestProbe(const Group& aGroup,
                std::span<const GroupMember> aMembers,
                const ProbeTable& aTable,
                TimePoint aNow,
                Duration aMaxAge)
{
  TimePoint oldest = aNow;
  for (const GroupMember& it : aMembers) {
    const std::optional<ProbeResult> probe = aTable.Find(it.mVm);
    if (!probe || !IsMemberReady(*probe, aGroup, it, aNow, aMaxAge)) {
      return std::nullopt;
    }
    oldest = std::min(oldest, probe->mProbedAt);
  }
  return oldest;
}

bool
IsGroupServing(const Group& aGroup,
               const ProbeTable& aTable,
               TimePoint aNow,
               Duration aMaxAge)
{
  if (aGroup.mPhase != GroupPhase::Serving || aGroup.mMembers.empty()) {
    return false;
  }
  for (uint32_t i = 0; i < CountSlices(aGroup); ++i) {
    const std::optional<SliceReport> report =
      aTable.SliceReports().Find(aGroup.mId, i);
    const bool reportedReady =
      report && IsSliceReady(*report, aGroup, aNow, aMaxAge);
    if (!reportedReady &&
        !FindOldestProbe(aGroup, SliceOf(aGroup, i), aTable, aNow, aMaxAge)) {
      return false;
    }
  }
  return true;
}

Result<EngineStatus>
ParseEngineStatus(std::string_view aText)
{
  BOOST_OUTCOME_TRY(json, ParseJsonObject(aText));
  EngineStatus status;
  status.mIncarnation = TextAt(json, "incarnation");
  status.mGroup = TextAt(json, "group");
  status.mGeneration = NumberAt(json, "generation");
  status.mModel = TextAt(json, "model");
  status.mReady = FlagAt(json, "ready");
  status.mRunning = static_cast<uint32_t>(NumberAt(json, "running"));
  status.mQueued = static_cast<uint32_t>(NumberAt(json, "queued"));
  return status;
}

} // namespace hibiscushold
