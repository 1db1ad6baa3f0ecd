#include "cluster/view.h"

#include "cluster/drain.h"
#include "observe/events.h"

namespace hibiscushold {

namespace {

constexpr auto kWatchTimeout = milliseconds(2000);

std::string
StripPrefix(std::string_view aKey, std::string_view aPrefix)
{
  return std::string(aKey.substr(aPrefix.size()));
}

} // namespace

Result<void>
ApplyObject(ClusterView& aView, const Object& aObject)
{
  const std::string_view key = aObject.mKey;
  if (key == kConfigHeadKey) {
    BOOST_OUTCOME_TRY(head, ParseHead(aObject.mValue));
    aView.mHead = { aObject.mVersion, head };
  } else if (key.starts_with(kMemberPrefix)) {
    BOOST_OUTCOME_TRY(member, ParseMember(aObject.mValue));
    aView.mMembers[StripPrefix(key, kMemberPrefix)] = { aObject.mVersion,
                                                        member };
  } else if (key.starts_with(kDomainPrefix)) {
    BOOST_OUTCOME_TRY(domain, ParseDomain(aObject.mValue));
    aView.mDomains[StripPrefix(key, kDomainPrefix)] = { aObject.mVersion,
                                                        domain };
  } else if (key.starts_with(kDrainPrefix)) {
    BOOST_OUTCOME_TRY(drain, ParseDrain(aObject.mValue));
    aView.mDrains[StripPrefix(key, kDrainPrefix)] = drain.mIncarnation;
  }
  return boost::outcome_v2::success();
}

void
RemoveObject(ClusterView& aView, std::string_view aKey)
{
  if (aKey == kConfigHeadKey) {
    aView.mHead = {};
  } else if (aKey.starts_with(kMemberPrefix)) {
    aView.mMembers.erase(StripPrefix(aKey, kMemberPrefix));
  } else if (aKey.starts_with(kDomainPrefix)) {
    aView.mDomains.erase(StripPrefix(aKey, kDomainPrefix));
  } else if (aKey.starts_with(kDrainPrefix)) {
    aView.mDrains.erase(StripPrefix(aKey, kDrainPrefix));
  }
}

ViewWatcher::ViewWatcher(Platform& aPlatform, const Clock& aClock)
  : mPlatform(aPlatform)
  , mClock(aClock)
  , mView(std::make_shared<const ClusterView>())
{
}

void
ViewWatcher::AddListener(Listener aListener)
{
  mListeners.push_back(std::move(aListener));
}

Result<void>
ViewWatcher::Poll()
{
  Result<ClusterView> next = mLoaded ? WatchOnce(*View()) : ListAll();
  if (!next) {
    // A failed watch may have missed changes, so the next call lists
    // everything.
    mLoaded = false;
    return next.error();
  }
  mLoaded = true;
  Publish(std::move(next.value()));
  return boost::outcome_v2::success();
}

ViewWatcher::ViewPtr
ViewWatcher::View() const
{
  const std::lock_guard guard(mLock);
  return mView;
}

Result<ClusterView>
ViewWatcher::ListAll()
{
  ClusterView view;
  view.mRequestedAt = mClock.Now();
  BOOST_OUTCOME_TRY(listing,
                    mPlatform.List(kStatePrefix, CallPriority::Config));
  view.mRevision = listing.mRevision;
  for (const Object& it : listing.mObjects) {
    BOOST_OUTCOME_TRY(ApplyObject(view, it));
  }
  return view;
}

Result<ClusterView>
ViewWatcher::WatchOnce(const ClusterView& aCurrent)
{
  ClusterView view = aCurrent;
  view.mRequestedAt = mClock.Now();
  BOOST_OUTCOME_TRY(
    listing, mPlatform.Watch(kStatePrefix, aCurrent.mRevision, kWatchTimeout));
  view.mRevision = listing.mRevision;
  for (const Object& it : listing.mObjects) {
    BOOST_OUTCOME_TRY(ApplyObject(view, it));
  }
  for (const std::string& it : listing.mDeleted) {
    RemoveObject(view, it);
  }
  return view;
}

void
ViewWatcher::Publish(ClusterView aView)
{
  auto view = std::make_shared<const ClusterView>(std::move(aView));
  {
    const std::lock_guard guard(mLock);
    mView = view;
  }
  for (const Listener& it : mListeners) {
    it(view);
  }
}

} // namespace hibiscushold
