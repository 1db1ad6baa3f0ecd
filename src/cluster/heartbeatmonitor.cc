#include "cluster/heartbeatmonitor.h"

#include "core/ids.h"
#include "core/json.h"
#include "core/parallel.h"

#include <algorithm>

namespace hibiscushold {

namespace {

constexpr auto kHeartbeatTimeout = milliseconds(500);
/// Each unresponsive member occupies a thread until the timeout; a zone of 68
/// such members delays a round by 1.1 s.
constexpr size_t kMaxParallelHeartbeats = 32;
constexpr auto kAliveTimeout = milliseconds(3000);

} // namespace

HeartbeatMonitor::HeartbeatMonitor(std::string aSelf,
                                   const ViewWatcher& aViews,
                                   PeerClient& aPeers,
                                   const Clock& aClock,
                                   StatusListener aListener)
  : mSelf(std::move(aSelf))
  , mViews(aViews)
  , mPeers(aPeers)
  , mClock(aClock)
  , mListener(std::move(aListener))
{
}

void
HeartbeatMonitor::SendHeartbeats()
{
  const ViewWatcher::ViewPtr view = mViews.View();
  std::vector<const Member*> others;
  for (const auto& [id, member] : view->mMembers) {
    if (id != mSelf) {
      others.push_back(&member.mValue);
    }
  }
  ForEachInParallel(others.size(), kMaxParallelHeartbeats, [&](size_t aIndex) {
    SendHeartbeat(*others[aIndex]);
  });
}

void
HeartbeatMonitor::SendHeartbeat(const Member& aMember)
{
  const TimePoint sentAt = mClock.Now();
  Result<Json::Value> status = mPeers.Call(aMember.mPeerAddress,
                                           "node.status",
                                           Json::objectValue,
                                           sentAt + kHeartbeatTimeout);
  if (!status) {
    return;
  }
  mListener(aMember.mId, status.value(), sentAt);
  const std::lock_guard guard(mLock);
  mLastAnswers[aMember.mId] = { TextAt(status.value(), "incarnation"), sentAt };
}

std::vector<std::string>
HeartbeatMonitor::Alive() const
{
  const ViewWatcher::ViewPtr view = mViews.View();
  const TimePoint now = mClock.Now();
  std::vector<std::string> alive{ mSelf };
  const std::lock_guard guard(mLock);
  for (const auto& [id, answer] : mLastAnswers) {
    if (now < answer.mSentAt + kAliveTimeout && view->mMembers.contains(id)) {
      alive.push_back(id);
    }
  }
  return alive;
}

size_t
HeartbeatMonitor::CountReachable(const std::string& aIncarnation,
                                 Duration aMaxAge) const
{
  const ViewWatcher::ViewPtr view = mViews.View();
  const auto isRegistered = [&](const auto& aId,
                                const auto& aMemberIncarnation) {
    const auto it = view->mMembers.find(aId);
    return it != view->mMembers.end() &&
           it->second.mValue.mIncarnation == aMemberIncarnation;
  };
  const TimePoint now = mClock.Now();
  size_t count = isRegistered(mSelf, aIncarnation) ? 1 : 0;
  const std::lock_guard guard(mLock);
  for (const auto& [id, answer] : mLastAnswers) {
    const bool recent = now < answer.mSentAt + aMaxAge;
    count += recent && isRegistered(id, answer.mIncarnation) ? 1 : 0;
  }
  return count;
}

std::string
PreferredMember(const std::vector<std::string>& aAlive, std::string_view aKey)
{
  const auto it =
    std::max_element(aAlive.begin(), aAlive.end(), [&](auto& aL, auto& aR) {
      return RendezvousScore(aKey, aL) < RendezvousScore(aKey, aR);
    });
  return it == aAlive.end() ? std::string() : *it;
}

} // namespace hibiscushold
