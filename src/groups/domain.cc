#include "groups/domain.h"

#include "core/json.h"

#include <algorithm>
#include <array>

namespace hibiscushold {

namespace {

constexpr std::array<const char*, 4> kPhaseNames = { "forming",
                                                     "serving",
                                                     "draining",
                                                     "retiring" };

Result<GroupPhase>
ParsePhase(const std::string& aName)
{
  for (size_t i = 0; i < kPhaseNames.size(); ++i) {
    if (kPhaseNames[i] == aName) {
      return static_cast<GroupPhase>(i);
    }
  }
  return Failure{ Error::ReplyInvalid, "unknown phase '" + aName + "'", "" };
}

Json::Value
ToGroupJson(const Group& aGroup)
{
  Json::Value json;
  json["id"] = aGroup.mId;
  json["rule"] = aGroup.mRule;
  json["model"] = aGroup.mModel;
  json["generation"] = Json::UInt64(aGroup.mGeneration);
  json["phase"] = PhaseName(aGroup.mPhase);
  json["members"] = Json::Value(Json::arrayValue);
  for (const GroupMember& it : aGroup.mMembers) {
    Json::Value member;
    member["vm"] = it.mVm;
    member["incarnation"] = it.mIncarnation;
    member["address"] = ToString(it.mAddress);
    json["members"].append(member);
  }
  return json;
}

Result<Group>
ParseGroup(const Json::Value& aJson)
{
  Group group;
  group.mId = TextAt(aJson, "id");
  group.mRule = TextAt(aJson, "rule");
  group.mModel = TextAt(aJson, "model");
  group.mGeneration = NumberAt(aJson, "generation");
  BOOST_OUTCOME_TRY(phase, ParsePhase(TextAt(aJson, "phase")));
  group.mPhase = phase;
  for (const Json::Value& it : ArrayAt(aJson, "members")) {
    BOOST_OUTCOME_TRY(address, ParseEndpoint(TextAt(it, "address")));
    group.mMembers.push_back(
      { TextAt(it, "vm"), TextAt(it, "incarnation"), address });
  }
  return group;
}

} // namespace

std::string
SerializeDomain(const Domain& aDomain)
{
  Json::Value json;
  json["name"] = aDomain.mName;
  json["epoch"] = Json::UInt64(aDomain.mEpoch);
  json["order_number"] = Json::UInt64(aDomain.mOrderNumber);
  json["groups"] = Json::Value(Json::arrayValue);
  for (const Group& it : aDomain.mGroups) {
    json["groups"].append(ToGroupJson(it));
  }
  return ToJson(json);
}

Result<Domain>
ParseDomain(std::string_view aText)
{
  BOOST_OUTCOME_TRY(json, ParseJsonObject(aText));
  Domain domain;
  domain.mName = TextAt(json, "name");
  domain.mEpoch = NumberAt(json, "epoch");
  domain.mOrderNumber = NumberAt(json, "order_number");
  for (const Json::Value& it : ArrayAt(json, "groups")) {
    BOOST_OUTCOME_TRY(group, ParseGroup(it));
    domain.mGroups.push_back(group);
  }
  return domain;
}

uint64_t
NextOrderNumber(const Domain& aDomain, int64_t aWallMillis)
{
  const uint64_t wall =
    static_cast<uint64_t>(std::max<int64_t>(0, aWallMillis));
  return std::max(aDomain.mOrderNumber + 1, wall);
}

std::string
PhaseName(GroupPhase aPhase)
{
  return kPhaseNames[static_cast<size_t>(aPhase)];
}

} // namespace hibiscushold
