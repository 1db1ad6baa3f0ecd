#include "relay/reachmethod.h"

#include "cluster/peerclient.h"
#include "core/json.h"

namespace hibiscushold {

namespace {

constexpr const char* kReachMethod = "reach";
constexpr const char* kReachesTargets = "reaches_targets";
constexpr const char* kNode = "node";
constexpr auto kCallTimeout = milliseconds(200);

Result<Json::Value>
CallReach(HttpClient& aClient, const Clock& aClock, const RosterEntry& aPeer)
{
  const TokenSet token(aPeer.mToken);
  PeerClient peer(aClient, token);
  return peer.Call(aPeer.mAddress,
                   kReachMethod,
                   Json::Value(Json::objectValue),
                   aClock.Now() + kCallTimeout);
}

} // namespace

void
AddReachMethod(RpcServer& aServer,
               std::string aNodeId,
               std::function<bool()> aReachesTargets)
{
  aServer.AddMethod(
    kReachMethod,
    [id = std::move(aNodeId), reaches = std::move(aReachesTargets)](
      const Json::Value&) -> Result<Json::Value> {
      Json::Value json;
      json[kReachesTargets] = reaches();
      json[kNode] = id;
      return json;
    });
}

PeerReachReader
MakePeerReachReader(HttpClient& aClient, const Clock& aClock)
{
  return [&aClient, &aClock](const RosterEntry& aPeer) {
    const Result<Json::Value> json = CallReach(aClient, aClock, aPeer);
    return json && json.value()[kReachesTargets].isBool() &&
           json.value()[kReachesTargets].asBool();
  };
}

NodeCaller
MakeNodeCaller(HttpClient& aClient, const Clock& aClock)
{
  return [&aClient, &aClock](const RosterEntry& aNode) {
    const Result<Json::Value> json = CallReach(aClient, aClock, aNode);
    // Earlier versions don't state their id.
    return json && TextAt(json.value(), kNode, aNode.mId) == aNode.mId;
  };
}

} // namespace hibiscushold
