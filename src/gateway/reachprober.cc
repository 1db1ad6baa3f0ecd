#include "gateway/reachprober.h"

#include "core/random.h"
#include "core/sessionpool.h"
#include "observe/events.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <algorithm>
#include <optional>
#include <span>
#include <vector>

namespace hibiscushold {

namespace {

constexpr size_t kProbedTargets = 6;
/// With fewer targets, a cut can't be told from their end.
constexpr size_t kMinTargets = 4;
constexpr auto kConnectTimeout = milliseconds(150);
constexpr size_t kAskedNodes = 6;

/// @return some of the targets of all services, chosen at random
std::vector<const FleetTarget*>
SomeOf(const FleetTargets& aTargets)
{
  std::vector<const FleetTarget*> some;
  for (const auto& [service, targets] : aTargets.mByService) {
    for (const FleetTarget& it : targets) {
      some.push_back(&it);
    }
  }
  const size_t count =
    some.size() < kMinTargets ? 0 : std::min(some.size(), kProbedTargets);
  for (size_t n = 0; n < count; ++n) {
    const size_t rest = some.size() - n;
    std::swap(some[n], some[n + NextRandom() % rest]);
  }
  some.resize(count);
  return some;
}

/// @return a socket that connects to the target, or none if that has failed
std::optional<Poco::Net::StreamSocket>
BeginConnecting(const FleetTarget& aTarget)
{
  Poco::Net::StreamSocket socket;
  try {
    socket.connectNB({ aTarget.mAddress.mHost, aTarget.mAddress.mPort });
  } catch (const Poco::Exception&) {
    return std::nullopt; // counts as a failed probe
  }
  return socket;
}

/// Waits until the socket is connected.
/// @return whether it is
bool
FinishConnecting(const Poco::Net::StreamSocket& aSocket, Duration aTimeout)
{
  constexpr int kAnyEvent = Poco::Net::Socket::SELECT_READ |
                            Poco::Net::Socket::SELECT_WRITE |
                            Poco::Net::Socket::SELECT_ERROR;
  try {
    return aSocket.poll(ToTimespan(aTimeout), kAnyEvent) &&
           aSocket.impl()->socketError() == 0;
  } catch (const Poco::Exception&) {
    return false;
  }
}

ProbeRound
Probe(std::span<const FleetTarget* const> aTargets, const Clock& aClock)
{
  const TimePoint deadline = aClock.Now() + kConnectTimeout;
  std::vector<std::optional<Poco::Net::StreamSocket>> sockets;
  for (const FleetTarget* it : aTargets) {
    sockets.push_back(BeginConnecting(*it));
  }
  ProbeRound round;
  for (const auto& it : sockets) {
    const bool accepted =
      it && FinishConnecting(*it, TimeLeft(deadline, aClock.Now()));
    ++(accepted ? round.mAccepted : round.mFailed);
  }
  return round;
}

} // namespace

ReachProber::ReachProber(std::function<FleetTargetsPtr()> aTargets,
                         Dependencies aDependencies)
  : mTargets(std::move(aTargets))
  , mDependencies(std::move(aDependencies))
{
}

void
ReachProber::ProbeOnce()
{
  TargetReach& reach = mDependencies.mReach;
  const Clock& clock = mDependencies.mClock;
  if (reach.NeedsProbes(clock.Now())) {
    const FleetTargetsPtr targets = mTargets();
    const std::vector<const FleetTarget*> some = SomeOf(*targets);
    // Without targets there is no reason to send callers elsewhere.
    const ProbeRound round =
      some.empty() ? ProbeRound{ 1, 0 } : Probe(some, clock);
    reach.RecordProbes(round, clock.Now());
    if (reach.FailsProbes() && DoOthersReach()) {
      reach.RecordReachOfOthers(clock.Now());
    }
  }
  LogChange(reach.Assess(clock.Now()));
}

bool
ReachProber::DoOthersReach() const
{
  std::set<std::string> asked;
  while (asked.size() < kAskedNodes) {
    const std::optional<RosterEntry> peer = mDependencies.mPeers.Choose(
      asked, mDependencies.mClock.Now(), NextFraction());
    if (!peer) {
      return false;
    }
    if (mDependencies.mAskPeer(*peer)) {
      return true;
    }
    asked.insert(peer->mId);
  }
  return false;
}

void
ReachProber::LogChange(Reach aReach)
{
  if (aReach == mLoggedReach) {
    return;
  }
  mLoggedReach = aReach;
  mDependencies.mMetrics.SetGauge("targets_unreachable",
                                  aReach == Reach::Full ? 0 : 1);
  if (aReach == Reach::Full) {
    LogEvent(EventId::TargetsReachable, {});
  } else {
    LogEvent(EventId::TargetsUnreachable,
             { { "answers", aReach == Reach::None ? "no" : "yes" } });
  }
}

} // namespace hibiscushold
