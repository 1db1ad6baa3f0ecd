#include "cluster/member.h"

#include "core/json.h"

namespace hibiscushold {

std::string
SerializeMember(const Member& aMember)
{
  Json::Value json;
  json["id"] = aMember.mId;
  json["incarnation"] = aMember.mIncarnation;
  json["zone"] = aMember.mZone;
  json["caller"] = ToString(aMember.mCallerAddress);
  json["peer"] = ToString(aMember.mPeerAddress);
  return ToJson(json);
}

Result<Member>
ParseMember(std::string_view aText)
{
  BOOST_OUTCOME_TRY(json, ParseJsonObject(aText));
  BOOST_OUTCOME_TRY(caller, ParseEndpoint(TextAt(json, "caller")));
  BOOST_OUTCOME_TRY(peer, ParseEndpoint(TextAt(json, "peer")));
  return Member{ TextAt(json, "id"),
                 TextAt(json, "incarnation"),
                 TextAt(json, "zone"),
                 caller,
                 peer };
}

} // namespace hibiscushold
