#include "serve/vmmethods.h"

#include "cluster/drain.h"
#include "core/json.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// @return the group that the VM belongs to, or null
const Group*
FindGroupOf(const ClusterView& aView, const std::string& aVm)
{
  for (const auto& [name, domain] : aView.mDomains) {
    for (const Group& group : domain.mValue.mGroups) {
      for (const GroupMember& it : group.mMembers) {
        if (it.mVm == aVm) {
          return &group;
        }
      }
    }
  }
  return nullptr;
}

Json::Value
TargetRow(const VmMethodParts& aParts, const ClusterView& aView, const Vm& aVm)
{
  Json::Value row;
  row["vm"] = aVm.mId;
  row["zone"] = aVm.mZone;
  row["domain"] = aVm.mDomain;
  row["pool"] = aVm.mPool;
  row["state"] = aVm.mState == VmState::Leaving ? "leaving" : "live";
  const Group* group = FindGroupOf(aView, aVm.mId);
  row["group"] = group == nullptr ? "" : group->mId;
  row["phase"] = group == nullptr ? "" : PhaseName(group->mPhase);
  const std::optional<Sighting> seen = aParts.mEvidence.Find(aVm.mId);
  if (seen) {
    const Duration age = aParts.mClock.Now() - seen->mAskedAt;
    row["model"] = seen->mStatus.mModel;
    row["running"] = seen->mStatus.mRunning;
    row["queued"] = seen->mStatus.mQueued;
    row["seen_ms"] = Json::Int64(ToMillis(age));
  }
  return row;
}

Result<Json::Value>
ShowTargets(const VmMethodParts& aParts)
{
  const ViewWatcher::ViewPtr view = aParts.mViews.View();
  Json::Value json;
  json["targets"] = Json::Value(Json::arrayValue);
  for (const Vm& it : *aParts.mVms.Vms()) {
    json["targets"].append(TargetRow(aParts, *view, it));
  }
  return json;
}

Failure
UnknownVm(const std::string& aVm)
{
  return { Error::MemberUnknown,
           "VM '" + aVm + "'",
           "see the VMs with 'hibiscushold targets'" };
}

Result<Json::Value>
DrainVm(const VmMethodParts& aParts, const Json::Value& aParams)
{
  const std::string id = TextAt(aParams, "vm");
  const VmList::ListPtr vms = aParts.mVms.Vms();
  const auto vm = std::find_if(
    vms->begin(), vms->end(), [&](const Vm& it) { return it.mId == id; });
  Json::Value json;
  json["vm"] = id;
  if (FlagAt(aParams, "undo")) {
    BOOST_OUTCOME_TRY(RemoveDrain(aParts.mPlatform, id));
    json["state"] = "live";
    return json;
  }
  if (vm == vms->end()) {
    return UnknownVm(id);
  }
  BOOST_OUTCOME_TRY(StoreDrain(aParts.mPlatform, { id, vm->mIncarnation }));
  const Group* group = FindGroupOf(*aParts.mViews.View(), id);
  json["state"] = "leaving";
  json["waits_for"] = group == nullptr
                        ? "nothing, it belongs to no group"
                        : "the requests of group " + group->mId + " to end";
  return json;
}

} // namespace

void
AddVmMethods(RpcServer& aServer, const VmMethodParts& aParts)
{
  aServer.Add("targets",
              [aParts](const Json::Value&) { return ShowTargets(aParts); });
  aServer.Add("drain", [aParts](const Json::Value& aParams) {
    return DrainVm(aParts, aParams);
  });
}

} // namespace hibiscushold
