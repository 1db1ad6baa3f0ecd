#include "emulator/operator.h"

#include "emulator/configs.h"
#include "platform/wirenames.h"

namespace hibiscushold::emulator {

namespace {

/// @return kind and name of the configuration's key
std::pair<std::string, std::string>
ConfigKey()
{
  const std::string key = wire::kConfigKey;
  const size_t slash = key.find('/');
  return { key.substr(0, slash), key.substr(slash + 1) };
}

std::string
ZoneKind()
{
  std::string kind = wire::kZonePrefix;
  kind.pop_back();
  return kind;
}

} // namespace

Operator::Operator(Store& aStore,
                   double aColdPerSecond,
                   const Timeline& aTimeline,
                   Recorder& aRecorder)
  : mStore(aStore)
  , mColdPerSecond(aColdPerSecond)
  , mTimeline(aTimeline)
  , mRecorder(aRecorder)
{
}

void
Operator::Change()
{
  const std::lock_guard guard(mLock);
  ++mNewestWritten;
  WriteConfig();
  mRecorder.Record(VersionLine{ mNewestWritten, mTimeline.Now() });
  mNewestAcked = mNewestWritten.load();
}

void
Operator::Rewrite()
{
  const std::lock_guard guard(mLock);
  WriteConfig();
  for (const auto& [zone, isOut] : mZones) {
    if (isOut) {
      mStore.Put(ZoneKind(), zone, Json::objectValue, std::nullopt);
    } else {
      mStore.Delete(ZoneKind(), zone, std::nullopt);
    }
  }
}

void
Operator::TakeOut(const std::string& aZone)
{
  const std::lock_guard guard(mLock);
  mZones[aZone] = true;
  mStore.Put(ZoneKind(), aZone, Json::objectValue, std::nullopt);
  mOutSince[aZone] = mTimeline.Now();
}

void
Operator::PutBack(const std::string& aZone)
{
  const std::lock_guard guard(mLock);
  mZones[aZone] = false;
  mRecorder.Record(ZoneLine{ aZone, mOutSince[aZone], mTimeline.Now() });
  mStore.Delete(ZoneKind(), aZone, std::nullopt);
}

void
Operator::WriteConfig()
{
  const auto [kind, name] = ConfigKey();
  mStore.Put(
    kind, name, MakeConfig(mNewestWritten, mColdPerSecond), std::nullopt);
}

} // namespace hibiscushold::emulator
