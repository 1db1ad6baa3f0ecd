#include "relay/reachmethod.h"

#include "cluster/peerclient.h"
#include "core/json.h"

namespace hibiscushold {

namespace {

constexpr const char* kReachMethod = "reach";
constexpr const char* kReachesTargets = "reaches_targets";
constexpr auto kCallTimeout = milliseconds(200);

} // namespace

void
AddReachMethod(RpcServer& aServer, std::function<bool()> aReachesTargets)
{
  aServer.AddMethod(kReachMethod,
                    [reaches = std::move(aReachesTargets)](
                      const Json::Value&) -> Result<Json::Value> {
                      Json::Value json;
                      json[kReachesTargets] = reaches();
                      return json;
                    });
}

PeerReachReader
MakePeerReachReader(HttpClient& aClient, const Clock& aClock)
{
  return [&aClient, &aClock](const RosterEntry& aPeer) {
    const TokenSet token(aPeer.mToken);
    PeerClient peer(aClient, token);
    const Result<Json::Value> json = peer.Call(aPeer.mAddress,
                                               kReachMethod,
                                               Json::Value(Json::objectValue),
                                               aClock.Now() + kCallTimeout);
    return json && json.value()[kReachesTargets].isBool() &&
           json.value()[kReachesTargets].asBool();
  };
}

} // namespace hibiscushold
