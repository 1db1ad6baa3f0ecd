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

} // namespace

Operator::Operator(Store& aStore,
                   const Timeline& aTimeline,
                   Recorder& aRecorder)
  : mStore(aStore)
  , mTimeline(aTimeline)
  , mRecorder(aRecorder)
{
}

void
Operator::Change()
{
  const std::lock_guard guard(mLock);
  ++mNewestWritten;
  Rewrite();
  mRecorder.Record(VersionLine{ mNewestWritten, mTimeline.Now() });
  mNewestAcked = mNewestWritten.load();
}

void
Operator::Rewrite()
{
  const auto [kind, name] = ConfigKey();
  mStore.Put(kind, name, MakeConfig(mNewestWritten), std::nullopt);
}

} // namespace hibiscushold::emulator
