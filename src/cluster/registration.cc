#include "cluster/registration.h"

#include "store/putobject.h"

namespace hibiscushold {

namespace {

std::string
KeyOf(const Member& aMember)
{
  return std::string(kMemberPrefix) + aMember.mId;
}

} // namespace

Result<void>
RegisterMember(Platform& aPlatform, const Member& aMember)
{
  return PutObject(
    aPlatform, KeyOf(aMember), SerializeMember(aMember), CallPriority::Config);
}

Result<void>
DeregisterMember(Platform& aPlatform, const Member& aMember)
{
  BOOST_OUTCOME_TRY(object,
                    aPlatform.Get(KeyOf(aMember), CallPriority::Config));
  if (object.mValue != SerializeMember(aMember)) {
    return boost::outcome_v2::success();
  }
  return aPlatform.Delete(
    KeyOf(aMember), object.mVersion, CallPriority::Config);
}

Result<void>
RemoveMember(Platform& aPlatform, const std::string& aId)
{
  const std::string key = std::string(kMemberPrefix) + aId;
  Result<Object> object = aPlatform.Get(key, CallPriority::Config);
  if (!object && object.error().mError == Error::StoreMissing) {
    return Failure{ Error::MemberUnknown,
                    "'" + aId + "'",
                    "see 'hibiscushold members'" };
  }
  if (!object) {
    return object.error();
  }
  return aPlatform.Delete(key, object.value().mVersion, CallPriority::Config);
}

} // namespace hibiscushold
