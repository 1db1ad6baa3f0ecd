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
TargetRow(const VmMethodDependencies& aDependencies,
          const ClusterView& aView,
          const Vm& aVm)
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
  const std::optional<ProbeResult> probe = aDependencies.mProbes.Find(aVm.mId);
  if (probe) {
    const Duration age = aDependencies.mClock.Now() - probe->mProbedAt;
    row["model"] = probe->mStatus.mModel;
    row["running"] = probe->mStatus.mRunning;
    row["queued"] = probe->mStatus.mQueued;
    row["seen_ms"] = Json::Int64(ToMillis(age));
  }
  return row;
}

Result<Json::Value>
ShowTargets(const VmMethodDependencies& aDependencies)
{
  const ViewWatcher::ViewPtr view = aDependencies.mViews.View();
  Json::Value json;
  json["targets"] = Json::Value(Json::arrayValue);
  for (const Vm& it : *aDependencies.mVms.Vms()) {
    json["targets"].append(TargetRow(aDependencies, *view, it));
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
DrainVm(const VmMethodDependencies& aDependencies, const Json::Value& aParams)
{
  const std::string id = TextAt(aParams, "vm");
  const VmList::ListPtr vms = aDependencies.mVms.Vms();
  const auto vm = std::find_if(
    vms->begin(), vms->end(), [&](const Vm& it) { return it.mId == id; });
  Json::Value json;
  json["vm"] = id;
  if (FlagAt(aParams, "undo")) {
    BOOST_OUTCOME_TRY(RemoveDrain(aDependencies.mPlatform, id));
    json["state"] = "live";
    return json;
  }
  if (vm == vms->end()) {
    return UnknownVm(id);
  }
  BOOST_OUTCOME_TRY(
    StoreDrain(aDependencies.mPlatform, { id, vm->mIncarnation }));
  const Group* group = FindGroupOf(*aDependencies.mViews.View(), id);
  json["state"] = "leaving";
  json["waits_for"] = group == nullptr
                        ? "nothing, it belongs to no group"
                        : "the requests of group " + group->mId + " to end";
  return json;
}

} // namespace

void
AddVmMethods(RpcServer& aServer, const VmMethodDependencies& aDependencies)
{
  aServer.AddMethod("targets", [aDependencies](const Json::Value&) {
    return ShowTargets(aDependencies);
  });
  aServer.AddMethod("drain", [aDependencies](const Json::Value& aParams) {
    return DrainVm(aDependencies, aParams);
  });
}

} // namespace hibiscushold
