#include "relay/roster.h"

#include "core/json.h"

#include <algorithm>
#include <tuple>

namespace hibiscushold {

namespace {

/// Others take over when the first is lost; more would only lengthen the
/// search for one that answers.
constexpr size_t kMostInZone = 2;
constexpr size_t kMostBeyond = 2;

bool
GoesBefore(const RosterEntry& aL, const RosterEntry& aR)
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
  return entry;
}

std::vector<RosterEntry>
UpstreamsOf(const Roster& aRoster, const RosterEntry& aSelf)
{
  std::vector<RosterEntry> before;
  for (const auto& [id, node] : aRoster) {
    if (id != aSelf.mId && GoesBefore(node.mEntry, aSelf)) {
      before.push_back(node.mEntry);
    }
  }
  std::sort(before.begin(), before.end(), GoesBefore);
  std::vector<RosterEntry> upstreams;
  for (const RosterEntry& it : before) {
    if (it.mZone == aSelf.mZone && upstreams.size() < kMostInZone) {
      upstreams.push_back(it);
    }
  }
  // Bytes between zones cost more, so one node of a zone brings them in.
  size_t n = 0;
  for (const RosterEntry& it : before) {
    if (it.mZone != aSelf.mZone && n < kMostBeyond) {
      upstreams.push_back(it);
      ++n;
    }
  }
  return upstreams;
}

} // namespace hibiscushold
