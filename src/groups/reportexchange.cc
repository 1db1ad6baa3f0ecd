#include "groups/reportexchange.h"

#include "core/ids.h"
#include "core/json.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// How long a request is held while there are no new reports.
constexpr auto kMaxHoldTime = milliseconds(1000);
constexpr auto kRequestTimeout = milliseconds(1500);

std::vector<ExchangeMember>
RankByHash(std::span<const ExchangeMember> aAlive, const std::string& aKey)
{
  std::vector<ExchangeMember> ranked(aAlive.begin(), aAlive.end());
  std::sort(ranked.begin(), ranked.end(), [&](auto& aL, auto& aR) {
    return RendezvousScore(aKey, aL.mId) > RendezvousScore(aKey, aR.mId);
  });
  return ranked;
}

bool
NeedsProbes(const Group& aGroup)
{
  return aGroup.mPhase != GroupPhase::Retiring;
}

/// Adds the VMs of the group's slices that this node probes.
void
AddAssignedSlices(const ProbeInput& aInput,
                  const Group& aGroup,
                  std::set<std::string>& aVms)
{
  for (uint32_t i = 0; NeedsProbes(aGroup) && i < CountSlices(aGroup); ++i) {
    const std::vector<std::string> probers =
      ChooseProbers(aInput.mAlive, aGroup.mId, i);
    if (std::find(probers.begin(), probers.end(), aInput.mSelf) ==
        probers.end()) {
      continue;
    }
    for (const GroupMember& it : SliceOf(aGroup, i)) {
      aVms.insert(it.mVm);
    }
  }
}

/// Adds the members of a serving group that recent reports cover.
void
AddCoveredMembers(const Group& aGroup,
                  const ProbeTable& aTable,
                  TimePoint aNow,
                  Duration aMaxAge,
                  std::set<std::string>& aVms)
{
  for (uint32_t i = 0; i < CountSlices(aGroup); ++i) {
    const std::optional<SliceReport> report =
      aTable.SliceReports().Find(aGroup.mId, i);
    if (aGroup.mPhase != GroupPhase::Serving || !report ||
        !IsSliceReady(*report, aGroup, aNow, aMaxAge)) {
      continue;
    }
    for (const GroupMember& it : SliceOf(aGroup, i)) {
      aVms.insert(it.mVm);
    }
  }
}

} // namespace

std::vector<std::string>
ChooseProbers(std::span<const ExchangeMember> aAlive,
              const std::string& aGroup,
              uint32_t aSlice)
{
  const std::vector<ExchangeMember> ranked =
    RankByHash(aAlive, aGroup + "/" + std::to_string(aSlice));
  std::vector<std::string> probers;
  if (ranked.empty()) {
    return probers;
  }
  probers.push_back(ranked[0].mId);
  const auto other = std::find_if(
    ranked.begin(), ranked.end(), [&](const ExchangeMember& aMember) {
      return aMember.mZone != ranked[0].mZone;
    });
  if (other != ranked.end()) {
    probers.push_back(other->mId);
  } else if (ranked.size() > 1) {
    probers.push_back(ranked[1].mId);
  }
  return probers;
}

std::vector<std::string>
ChooseSources(std::span<const ExchangeMember> aAlive, const std::string& aSelf)
{
  std::vector<std::string> sources;
  const std::vector<ExchangeMember> ring = RankByHash(aAlive, "ring");
  const auto self =
    std::find_if(ring.begin(), ring.end(), [&](const ExchangeMember& aMember) {
      return aMember.mId == aSelf;
    });
  if (self != ring.end() && ring.size() > 1) {
    const auto next = self + 1 == ring.end() ? ring.begin() : self + 1;
    sources.push_back(next->mId);
  }
  const size_t most = aAlive.size() <= kMaxFullMeshMembers
                        ? kMaxFullMeshMembers - 1
                        : kSourcesPerMember;
  for (const ExchangeMember& it : RankByHash(aAlive, "sources of " + aSelf)) {
    const bool known =
      it.mId == aSelf ||
      std::find(sources.begin(), sources.end(), it.mId) != sources.end();
    if (!known && sources.size() < most) {
      sources.push_back(it.mId);
    }
  }
  return sources;
}

std::string
ChooseSource(std::span<const ExchangeMember> aAlive,
             const std::string& aSelf,
             size_t aSlot,
             uint32_t aFailures)
{
  const std::vector<std::string> sources = ChooseSources(aAlive, aSelf);
  if (aSlot >= sources.size()) {
    return {};
  }
  if (aFailures == 0) {
    return sources[aSlot];
  }
  std::vector<std::string> others;
  for (const ExchangeMember& it : RankByHash(aAlive, sources[aSlot])) {
    if (it.mId != aSelf) {
      others.push_back(it.mId);
    }
  }
  return others[aFailures % others.size()];
}

std::set<std::string>
ChooseVmsToProbe(const ProbeInput& aInput,
                 const ClusterView& aView,
                 std::span<const Vm> aVms,
                 const ProbeTable& aTable,
                 TimePoint aNow,
                 Duration aMaxAge)
{
  std::set<std::string> probes;
  std::set<std::string> covered;
  for (const auto& [name, domain] : aView.mDomains) {
    for (const Group& it : domain.mValue.mGroups) {
      AddAssignedSlices(aInput, it, probes);
      if (aInput.mManagedDomains.contains(name)) {
        AddCoveredMembers(it, aTable, aNow, aMaxAge / 2, covered);
      }
    }
  }
  for (const Vm& it : aVms) {
    if (aInput.mManagedDomains.contains(it.mDomain) &&
        !covered.contains(it.mId)) {
      probes.insert(it.mId);
    }
  }
  return probes;
}

void
RecordSliceReports(const ClusterView& aView,
                   ProbeTable& aTable,
                   TimePoint aNow,
                   Duration aMaxAge)
{
  for (const auto& [name, domain] : aView.mDomains) {
    for (const Group& group : domain.mValue.mGroups) {
      for (uint32_t i = 0; i < CountSlices(group); ++i) {
        const std::optional<TimePoint> probedAt =
          FindOldestProbe(group, SliceOf(group, i), aTable, aNow, aMaxAge);
        if (probedAt) {
          const EngineStatus first =
            aTable.Find(SliceOf(group, i).front().mVm)->mStatus;
          aTable.SliceReports().Record({ group.mId,
                                         i,
                                         group.mGeneration,
                                         DigestOf(SliceOf(group, i)),
                                         *probedAt,
                                         first.mRunning,
                                         first.mQueued });
        }
      }
    }
  }
}

TimePoint
EstimateProbeTime(TimePoint aSentAt,
                  TimePoint aNow,
                  Duration aHeld,
                  Duration aAge)
{
  return aSentAt + std::min(aHeld, aNow - aSentAt) - aAge;
}

SliceReportExchange::SliceReportExchange(std::string aSelf,
                                         const ViewWatcher& aViews,
                                         PeerClient& aPeers,
                                         ProbeTable& aTable,
                                         const Clock& aClock)
  : mSelf(std::move(aSelf))
  , mTableId(NewId())
  , mViews(aViews)
  , mPeers(aPeers)
  , mTable(aTable)
  , mClock(aClock)
{
}

void
SliceReportExchange::AddMethod(RpcServer& aServer)
{
  aServer.AddMethod("groups.findings",
                    [this](const Json::Value& aParams) -> Result<Json::Value> {
                      return HandleRequest(aParams);
                    });
}

Json::Value
SliceReportExchange::HandleRequest(const Json::Value& aParams) const
{
  const TimePoint receivedAt = mClock.Now();
  const bool known = TextAt(aParams, "book") == mTableId;
  const uint64_t since = known ? NumberAt(aParams, "since") : 0;
  const SliceReportBatch batch =
    mTable.SliceReports().WaitForNewer(since, kMaxHoldTime);
  const TimePoint now = mClock.Now();
  Json::Value json;
  json["book"] = mTableId;
  json["serial"] = Json::UInt64(batch.mSerial);
  // Rounded down, as a longer hold time would make the reports seem younger.
  json["held_ms"] = Json::UInt64(ToMillis(now - receivedAt));
  json["findings"] = Json::Value(Json::arrayValue);
  for (const SliceReport& it : batch.mReports) {
    Json::Value row(Json::arrayValue);
    row.append(it.mGroup);
    row.append(it.mSlice);
    row.append(Json::UInt64(it.mGeneration));
    row.append(it.mDigest);
    row.append(Json::UInt64(ToMillis(now - it.mProbedAt) + 1));
    row.append(it.mRunning);
    row.append(it.mQueued);
    json["findings"].append(row);
  }
  return json;
}

void
SliceReportExchange::Step(std::span<const ExchangeMember> aAlive,
                          size_t aSlot,
                          Source& aSource)
{
  const std::string member =
    ChooseSource(aAlive, mSelf, aSlot, aSource.mFailures);
  if (!member.empty()) {
    const bool succeeded = FetchFrom(member, aSource);
    aSource.mFailures = succeeded ? 0 : aSource.mFailures + 1;
  }
}

bool
SliceReportExchange::FetchFrom(const std::string& aMember, Source& aSource)
{
  if (aSource.mMember != aMember) {
    aSource = { aMember, "", 0, aSource.mFailures };
  }
  const ViewWatcher::ViewPtr view = mViews.View();
  const auto member = view->mMembers.find(aMember);
  if (member == view->mMembers.end()) {
    return false;
  }
  Json::Value params;
  params["book"] = aSource.mTableId;
  params["since"] = Json::UInt64(aSource.mSerial);
  const TimePoint sentAt = mClock.Now();
  Result<Json::Value> reply = mPeers.Call(member->second.mValue.mPeerAddress,
                                          "groups.findings",
                                          params,
                                          sentAt + kRequestTimeout);
  if (!reply) {
    return false;
  }
  const TimePoint now = mClock.Now();
  const milliseconds held(NumberAt(reply.value(), "held_ms"));
  for (const Json::Value& it : ArrayAt(reply.value(), "findings")) {
    const bool wellFormed =
      it.isArray() && it.size() == 7 && it[0].isString() && it[1].isUInt() &&
      it[2].isUInt64() && it[3].isString() && it[4].isUInt64() &&
      it[5].isUInt() && it[6].isUInt();
    if (!wellFormed) {
      continue;
    }
    const milliseconds age(it[4].asUInt64());
    mTable.SliceReports().Record({ it[0].asString(),
                                   it[1].asUInt(),
                                   it[2].asUInt64(),
                                   it[3].asString(),
                                   EstimateProbeTime(sentAt, now, held, age),
                                   it[5].asUInt(),
                                   it[6].asUInt() });
  }
  aSource.mTableId = TextAt(reply.value(), "book");
  aSource.mSerial = NumberAt(reply.value(), "serial");
  return true;
}

} // namespace hibiscushold
