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
  return entry;
}

std::vector<RosterEntry>
UpstreamsOf(const Roster& aRoster, const RosterEntry& aSelf)
{
  std::vector<RosterEntry> preceding;
  for (const auto& [id, node] : aRoster) {
    if (id != aSelf.mId && Precedes(node.mEntry, aSelf)) {
      preceding.push_back(node.mEntry);
    }
  }
  std::sort(preceding.begin(), preceding.end(), Precedes);
  std::vector<RosterEntry> upstreams;
  for (const RosterEntry& it : preceding) {
    if (it.mZone == aSelf.mZone && upstreams.size() < kMaxUpstreamsInZone) {
      upstreams.push_back(it);
    }
  }
  // Traffic between zones costs more, so nodes prefer upstreams of their own
  // zone, and one node of each zone reads from another zone.
  size_t n = 0;
  for (const RosterEntry& it : preceding) {
    if (it.mZone != aSelf.mZone && n < kMaxUpstreamsInOtherZones) {
      upstreams.push_back(it);
      ++n;
    }
  }
  return upstreams;
}

size_t
RankInZone(const Roster& aRoster, const RosterEntry& aSelf)
{
  return static_cast<size_t>(
    std::count_if(aRoster.begin(), aRoster.end(), [&](const auto& it) {
      const RosterEntry& entry = it.second.mEntry;
      return entry.mZone == aSelf.mZone && entry.mId != aSelf.mId &&
             Precedes(entry, aSelf);
    }));
}

} // namespace hibiscushold
