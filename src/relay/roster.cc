#include "relay/roster.h"

#include "core/json.h"

#include <algorithm>
#include <tuple>

namespace hibiscushold {

namespace {

/// More than one upstream, so that another takes over when the first fails;
/// more would only lengthen the search for one that answers.
constexpr size_t kMaxUpstreamsInZone = 3;
constexpr size_t kMaxUpstreamsInOtherZones = 2;

/// @return whether aL is the preferred upstream of the two
bool
Precedes(const RosterEntry& aL, const RosterEntry& aR)
{
  return std::tuple(-aL.mCapacity, std::string_view(aL.mId)) <
         std::tuple(-aR.mCapacity, std::string_view(aR.mId));
}

} // namespace

std::string
SerializeRosterEntry(const RosterEntry& aEntry)
{
  Json::Value json;
  json["zone"] = aEntry.mZone;
  json["address"] = ToString(aEntry.mAddress);
  json["token"] = aEntry.mToken;
  json["capacity"] = aEntry.mCapacity;
  if (!aEntry.mCallers.mHost.empty()) {
    json["callers"] = ToString(aEntry.mCallers);
  }
  if (aEntry.mIsDoubted) {
    json["doubted"] = true;
  }
  return ToJson(json);
}

Result<RosterEntry>
ParseRosterEntry(const Object& aObject)
{
  BOOST_OUTCOME_TRY(json, ParseJsonObject(aObject.mValue));
  BOOST_OUTCOME_TRY(address, ParseEndpoint(TextAt(json, "address")));
  RosterEntry entry;
  entry.mId = aObject.mKey.substr(kRosterPrefix.size());
  entry.mZone = TextAt(json, "zone");
  entry.mAddress = address;
  entry.mToken = TextAt(json, "token");
  entry.mCapacity =
    json["capacity"].isNumeric() ? json["capacity"].asDouble() : 0;
  if (json.isMember("callers")) {
    BOOST_OUTCOME_TRY(callers, ParseEndpoint(TextAt(json, "callers")));
    entry.mCallers = callers;
  }
  entry.mIsDoubted = FlagAt(json, "doubted");
  return entry;
}

PrecedingNodes
FindPreceding(const Roster& aRoster, const RosterEntry& aSelf)
{
  PrecedingNodes nodes;
  for (const auto& [id, node] : aRoster) {
    if (id != aSelf.mId && Precedes(node.mEntry, aSelf)) {
      (node.mEntry.mZone == aSelf.mZone ? nodes.mInZone : nodes.mInOtherZones)
        .push_back(node.mEntry);
    }
  }
  std::sort(nodes.mInZone.begin(), nodes.mInZone.end(), Precedes);
  std::sort(nodes.mInOtherZones.begin(), nodes.mInOtherZones.end(), Precedes);
  return nodes;
}

std::vector<RosterEntry>
ChooseUpstreams(const PrecedingNodes& aNodes,
                const std::function<bool(const RosterEntry&)>& aIsUsable)
{
  std::vector<RosterEntry> upstreams;
  const auto add = [&](const std::vector<RosterEntry>& aFrom, size_t aMax) {
    for (auto it = aFrom.begin(); it != aFrom.end() && aMax > 0; ++it) {
      if (aIsUsable(*it)) {
        upstreams.push_back(*it);
        --aMax;
      }
    }
  };
  // Traffic between zones costs more, so nodes prefer upstreams of their own
  // zone, and one node of each zone reads from another zone.
  add(aNodes.mInZone, kMaxUpstreamsInZone);
  add(aNodes.mInOtherZones, kMaxUpstreamsInOtherZones);
  return upstreams;
}

std::vector<RosterEntry>
UpstreamsOf(const Roster& aRoster, const RosterEntry& aSelf)
{
  return ChooseUpstreams(FindPreceding(aRoster, aSelf),
                         [](const RosterEntry&) { return true; });
}

} // namespace hibiscushold
