#include "config/agent.h"

#include "observe/events.h"
#include "rules/parse.h"

namespace hibiscushold {

Result<ActiveConfigPtr>
CompileConfig(uint64_t aVersion, const std::string& aText)
{
  ParsedRules parsed = ParseRules(aText);
  if (!parsed.mFaults.empty()) {
    return Failure{ Error::ConfigInvalid,
                    "\n" + DescribeFaults("rules", parsed.mFaults),
                    "correct every line named" };
  }
  return std::make_shared<const ActiveConfig>(
    ActiveConfig{ aVersion, aText, std::move(parsed.mRules) });
}

ConfigAgent::ConfigAgent(Platform& aPlatform)
  : mPlatform(aPlatform)
  , mActive(std::make_shared<const ActiveConfig>())
{
}

Result<void>
ConfigAgent::Stage(const ConfigVersion& aTarget)
{
  // Serialized, since the store watch and the coordinator's call both stage the
  // same body; the second caller then finds it staged.
  const std::lock_guard staging(mStagingLock);
  if (FindStaged(aTarget) != nullptr) {
    return boost::outcome_v2::success();
  }
  BOOST_OUTCOME_TRY(config, Fetch(aTarget));
  const std::lock_guard guard(mLock);
  mStaged.clear();
  mStaged[aTarget.mBodyKey] = config;
  return boost::outcome_v2::success();
}

Result<void>
ConfigAgent::ApplyAccepted(const ConfigHead& aHead)
{
  const ConfigVersion& target = aHead.mAccepted;
  const uint64_t current = Active()->mVersion;
  if (target.mVersion < current) {
    LogEvent(EventId::ConfigLowerIgnored,
             { { "version", std::to_string(target.mVersion) },
               { "in_force", std::to_string(current) } });
    return boost::outcome_v2::success();
  }
  if (target.mVersion == current) {
    return boost::outcome_v2::success();
  }
  ActiveConfigPtr config = FindStaged(target);
  if (config == nullptr) {
    BOOST_OUTCOME_TRY(fetched, Fetch(target));
    config = fetched;
  }
  {
    const std::lock_guard guard(mLock);
    if (config->mVersion <= mActive->mVersion) {
      return boost::outcome_v2::success();
    }
    mActive = config;
  }
  LogEvent(EventId::ConfigInForce,
           { { "version", std::to_string(target.mVersion) } });
  return boost::outcome_v2::success();
}

void
ConfigAgent::MergeHead(const HeadSnapshot& aSnapshot)
{
  const std::lock_guard guard(mLock);
  MergeSnapshot(mHeadSnapshot, aSnapshot);
}

HeadSnapshot
ConfigAgent::LatestHead() const
{
  const std::lock_guard guard(mLock);
  return mHeadSnapshot;
}

ConfigAgent::ConfigState
ConfigAgent::State() const
{
  const std::lock_guard guard(mLock);
  ConfigState state{ mActive, nullptr, mHeadSnapshot };
  const ConfigHead& head = mHeadSnapshot.mHead;
  const ConfigVersion& next =
    head.mPending ? head.mPending->mTarget : head.mAccepted;
  const auto it = mStaged.find(next.mBodyKey);
  // With a pending change and an accepted version that is not applied yet,
  // three versions are possible, so comparing with one other is not enough.
  const bool behind = head.mAccepted.mVersion > mActive->mVersion;
  if (it != mStaged.end() && !(head.mPending && behind)) {
    state.mNextActive = it->second;
  }
  return state;
}

ActiveConfigPtr
ConfigAgent::Active() const
{
  const std::lock_guard guard(mLock);
  return mActive;
}

Result<ActiveConfigPtr>
ConfigAgent::Fetch(const ConfigVersion& aTarget)
{
  BOOST_OUTCOME_TRY(body,
                    mPlatform.Get(aTarget.mBodyKey, CallPriority::Config));
  return CompileConfig(aTarget.mVersion, body.mValue);
}

ActiveConfigPtr
ConfigAgent::FindStaged(const ConfigVersion& aTarget) const
{
  const std::lock_guard guard(mLock);
  const auto it = mStaged.find(aTarget.mBodyKey);
  return it == mStaged.end() ? nullptr : it->second;
}

} // namespace hibiscushold
