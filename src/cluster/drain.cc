#include "cluster/drain.h"

#include "core/json.h"
#include "store/putobject.h"

namespace hibiscushold {

namespace {

std::string
KeyOf(std::string_view aVm)
{
  return std::string(kDrainPrefix) + std::string(aVm);
}

} // namespace

std::string
SerializeDrain(const Drain& aDrain)
{
  Json::Value json;
  json["vm"] = aDrain.mVm;
  json["incarnation"] = aDrain.mIncarnation;
  return ToJson(json);
}

Result<Drain>
ParseDrain(std::string_view aText)
{
  BOOST_OUTCOME_TRY(json, ParseJsonObject(aText));
  return Drain{ TextAt(json, "vm"), TextAt(json, "incarnation") };
}

void
MarkDrained(std::vector<Vm>& aVms,
            const std::map<std::string, std::string>& aDrains)
{
  for (Vm& it : aVms) {
    const auto drain = aDrains.find(it.mId);
    if (drain != aDrains.end() && drain->second == it.mIncarnation) {
      it.mState = VmState::Leaving;
    }
  }
}

Result<void>
StoreDrain(Platform& aPlatform, const Drain& aDrain)
{
  return PutObject(
    aPlatform, KeyOf(aDrain.mVm), SerializeDrain(aDrain), CallPriority::Config);
}

Result<void>
RemoveDrain(Platform& aPlatform, std::string_view aVm)
{
  Result<Object> object = aPlatform.Get(KeyOf(aVm), CallPriority::Config);
  if (!object && object.error().mError == Error::StoreMissing) {
    return boost::outcome_v2::success();
  }
  BOOST_OUTCOME_TRY(found, object);
  return aPlatform.Delete(KeyOf(aVm), found.mVersion, CallPriority::Config);
}

} // namespace hibiscushold
