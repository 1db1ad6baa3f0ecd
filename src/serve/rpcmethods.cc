#include "serve/rpcmethods.h"

#include "core/json.h"
#include "route/match.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>

#include <algorithm>

namespace hibiscushold {

namespace {

/// Limited because each row costs one call to the store.
constexpr size_t kHistoryRows = 20;

Result<Json::Value>
NodeStatus(const MethodDependencies& aDependencies)
{
  Json::Value json;
  json["id"] = aDependencies.mSelf.mId;
  json["incarnation"] = aDependencies.mSelf.mIncarnation;
  json["config_version"] =
    Json::UInt64(aDependencies.mConfig.Active()->mVersion);
  const HeadSnapshot snapshot = aDependencies.mConfig.LatestHead();
  json["head"] = SerializeHead(snapshot.mHead);
  json["head_version"] = Json::UInt64(snapshot.mObjectVersion);
  json["head_age_ms"] =
    Json::Int64(ToMillis(aDependencies.mClock.Now() - snapshot.mAsOf) + 1);
  aDependencies.mDemand.WriteTo(json);
  return json;
}

Result<Json::Value>
StageConfig(const MethodDependencies& aDependencies, const Json::Value& aParams)
{
  BOOST_OUTCOME_TRY(head, ParseHead(TextAt(aParams, "head")));
  if (!head.mPending) {
    return Failure{ Error::ReplyInvalid, "no pending change", "" };
  }
  // A pushed message does not state how old the head is, so the time since when
  // it is known to be current does not change.
  aDependencies.mConfig.MergeHead(
    { NumberAt(aParams, "head_version"), head, {} });
  BOOST_OUTCOME_TRY(aDependencies.mConfig.Stage(head.mPending->mTarget));
  return Json::Value(Json::objectValue);
}

Result<Json::Value>
ApplyConfig(const MethodDependencies& aDependencies, const Json::Value& aParams)
{
  ApplyRequest request;
  request.mText = TextAt(aParams, "text");
  if (aParams.isMember("base")) {
    request.mBaseVersion = NumberAt(aParams, "base");
  }
  BOOST_OUTCOME_TRY(applied, aDependencies.mCoordinator.Apply(request));
  Json::Value json;
  json["version"] = Json::UInt64(applied.mVersion);
  json["members"] = Json::UInt64(applied.mConfirmedMembers);
  json["without"] = Json::Value(Json::arrayValue);
  for (const std::string& it : applied.mUnacknowledged) {
    json["without"].append(it);
  }
  return json;
}

Result<Json::Value>
ShowConfig(const MethodDependencies& aDependencies)
{
  const ActiveConfigPtr config = aDependencies.mConfig.Active();
  Json::Value json;
  json["version"] = Json::UInt64(config->mVersion);
  json["text"] = config->mText;
  return json;
}

Result<Json::Value>
ShowHistory(const MethodDependencies& aDependencies)
{
  BOOST_OUTCOME_TRY(entries, aDependencies.mCoordinator.History(kHistoryRows));
  Json::Value json;
  json["history"] = Json::Value(Json::arrayValue);
  for (const HistoryEntry& it : entries) {
    Json::Value row;
    row["version"] = Json::UInt64(it.mTarget.mVersion);
    row["time"] =
      Poco::DateTimeFormatter::format(Poco::Timestamp(it.mTimeMillis * 1000),
                                      Poco::DateTimeFormat::ISO8601_FORMAT);
    row["node"] = it.mNode;
    row["requesters"] = Json::Value(Json::arrayValue);
    for (const std::string& name : it.mRequesters) {
      row["requesters"].append(name);
    }
    json["history"].append(row);
  }
  return json;
}

Result<Json::Value>
ShowGroups(const MethodDependencies& aDependencies)
{
  Json::Value rows(Json::arrayValue);
  const TimePoint now = aDependencies.mClock.Now();
  const ViewWatcher::ViewPtr view = aDependencies.mViews.View();
  for (const auto& [name, domain] : view->mDomains) {
    for (const Group& group : domain.mValue.mGroups) {
      Json::Value row;
      row["group"] = group.mId;
      row["rule"] = group.mRule;
      row["domain"] = name;
      row["phase"] = PhaseName(group.mPhase);
      row["generation"] = Json::UInt64(group.mGeneration);
      row["serving"] = IsGroupServing(
        group, aDependencies.mProbes, now, aDependencies.mMaxProbeAge);
      row["vms"] = Json::Value(Json::arrayValue);
      for (const GroupMember& it : group.mMembers) {
        row["vms"].append(it.mVm);
      }
      rows.append(row);
    }
  }
  Json::Value json;
  json["groups"] = rows;
  return json;
}

Result<Json::Value>
ShowMembers(const MethodDependencies& aDependencies)
{
  const std::vector<std::string> alive = aDependencies.mHeartbeats.Alive();
  Json::Value rows(Json::arrayValue);
  for (const auto& [id, member] : aDependencies.mViews.View()->mMembers) {
    Json::Value row;
    row["member"] = id;
    row["zone"] = member.mValue.mZone;
    row["peer"] = ToString(member.mValue.mPeerAddress);
    row["caller"] = ToString(member.mValue.mCallerAddress);
    row["heard"] = std::find(alive.begin(), alive.end(), id) != alive.end();
    rows.append(row);
  }
  Json::Value json;
  json["members"] = rows;
  return json;
}

Result<Json::Value>
RemoveMember(const MethodDependencies& aDependencies,
             const Json::Value& aParams)
{
  const std::string id = TextAt(aParams, "member");
  const std::vector<std::string> alive = aDependencies.mHeartbeats.Alive();
  if (std::find(alive.begin(), alive.end(), id) != alive.end()) {
    return Failure{ Error::PeerRefused,
                    "member '" + id + "' still answers",
                    "stop its process instead" };
  }
  BOOST_OUTCOME_TRY(aDependencies.mCoordinator.Remove(id));
  Json::Value json;
  json["removed"] = id;
  return json;
}

Result<Json::Value>
ExplainRoute(const MethodDependencies& aDependencies,
             const Json::Value& aParams)
{
  const ActiveConfigPtr config = aDependencies.mConfig.Active();
  const std::string account = TextAt(aParams, "account");
  const std::string path = TextAt(aParams, "path");
  const std::string model = TextAt(aParams, "model");
  if (FindRule(config->mRules.mAccounts, account) == nullptr) {
    return Failure{ Error::ReferenceUnknown,
                    "account '" + account + "'",
                    "see the accounts with 'hibiscushold config'" };
  }
  const std::optional<RouteMatch> match =
    MatchRoute(config->mRules, account, path, model);
  Json::Value json;
  json["version"] = Json::UInt64(config->mVersion);
  json["account"] = account;
  json["path"] = path;
  json["model"] = model;
  json["route"] = match ? match->mRoute->mName : "none, refused as no_route";
  if (match) {
    json["to"] = match->mRoute->mDestination;
    json["kind"] = match->mGroup != nullptr ? "group" : "service";
    json["policy"] = match->mPolicy->mName;
    json["idempotent"] = match->mPolicy->mIdempotent;
    json["line"] = match->mRoute->mOrigin.mLine;
    json["requester"] = match->mRoute->mOrigin.mRequester;
  }
  return json;
}

/// Shows the claim of an idempotency key. The response body is omitted because
/// it belongs to the account.
Result<Json::Value>
ShowRequest(const MethodDependencies& aDependencies, const Json::Value& aParams)
{
  BOOST_OUTCOME_TRY(claim,
                    aDependencies.mClaims.Find(TextAt(aParams, "account"),
                                               TextAt(aParams, "key")));
  Json::Value json;
  json["phase"] = claim ? NameOf(claim->mPhase) : "none";
  if (!claim) {
    return json;
  }
  json["request"] = claim->mRequest;
  json["node"] = claim->mNode;
  json["created_ms"] = Json::Int64(claim->mCreatedMillis);
  json["deadline_ms"] = Json::Int64(claim->mDeadlineMillis);
  json["overdue"] = claim->mPhase == ClaimPhase::Running &&
                    aDependencies.mClock.WallMillis() > claim->mDeadlineMillis;
  if (claim->mResponse.mStatus != 0) {
    json["status"] = claim->mResponse.mStatus;
  }
  return json;
}

} // namespace

void
AddPeerMethods(RpcServer& aServer, const MethodDependencies& aDependencies)
{
  aServer.AddMethod("node.status", [aDependencies](const Json::Value&) {
    return NodeStatus(aDependencies);
  });
  aServer.AddMethod("config.stage",
                    [aDependencies](const Json::Value& aParams) {
                      return StageConfig(aDependencies, aParams);
                    });
}

void
AddOperatorMethods(RpcServer& aServer, const MethodDependencies& aDependencies)
{
  aServer.AddMethod("apply", [aDependencies](const Json::Value& aParams) {
    return ApplyConfig(aDependencies, aParams);
  });
  aServer.AddMethod("config", [aDependencies](const Json::Value&) {
    return ShowConfig(aDependencies);
  });
  aServer.AddMethod("history", [aDependencies](const Json::Value&) {
    return ShowHistory(aDependencies);
  });
  aServer.AddMethod("groups", [aDependencies](const Json::Value&) {
    return ShowGroups(aDependencies);
  });
  aServer.AddMethod("requests", [aDependencies](const Json::Value& aParams) {
    return ShowRequest(aDependencies, aParams);
  });
  aServer.AddMethod("members", [aDependencies](const Json::Value&) {
    return ShowMembers(aDependencies);
  });
  aServer.AddMethod("members.remove",
                    [aDependencies](const Json::Value& aParams) {
                      return RemoveMember(aDependencies, aParams);
                    });
  aServer.AddMethod("explain", [aDependencies](const Json::Value& aParams) {
    return ExplainRoute(aDependencies, aParams);
  });
}

} // namespace hibiscushold
