#include "relay/demandexchange.h"

#include "observe/events.h"
#include "relay/crashreport.h"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>

namespace hibiscushold {

namespace {

using Poco::Net::SocketAddress;

/// A node sends a few requests per second to a target; the other nodes should
/// know about each one before they send their next.
constexpr auto kReportInterval = milliseconds(25);
/// Traffic between zones costs more.
constexpr auto kCrossZoneReportInterval = milliseconds(60);
/// A node without requests still sends reports, since the replies give it the
/// demands of the other nodes for its next request.
constexpr auto kIdleReportInterval = milliseconds(200);
/// A parent that answers none of several consecutive reports is replaced.
constexpr auto kParentTimeout = milliseconds(500);
/// How often the preferred parent is tried again.
constexpr auto kPreferredParentRetryInterval = milliseconds(3000);
constexpr size_t kMaxDatagramBytes = 4096;
constexpr auto kCrashReportInterval = milliseconds(70);
/// A change is repeated for this long, as datagrams may be lost.
constexpr auto kCrashRepeatTime = milliseconds(350);
/// Nodes that start or were cut off learn of earlier crashes within this time.
constexpr auto kStrongEvidenceInterval = milliseconds(1000);
/// Nodes that have not reported for this long are forgotten.
constexpr auto kScheduleLifetime = seconds(10);

SocketAddress
AddressOf(const Endpoint& aEndpoint)
{
  return { aEndpoint.mHost, aEndpoint.mPort };
}

} // namespace

DemandExchange::DemandExchange(RosterEntry aSelf, Dependencies aDependencies)
  : mSelf(std::move(aSelf))
  , mDependencies(aDependencies)
{
}

Result<void>
DemandExchange::Open()
{
  try {
    mSocket.bind(AddressOf(mSelf.mAddress), true);
    return boost::outcome_v2::success();
  } catch (const Poco::Exception& e) {
    return Failure{ Error::AddressInUse, e.displayText(), "" };
  }
}

void
DemandExchange::RunOnce()
{
  const TimePoint now = mDependencies.mClock.Now();
  if (now >= mNextReportAt) {
    SendReport();
  }
  const Duration left = TimeLeft(mNextReportAt, mDependencies.mClock.Now());
  if (mSocket.poll(ToTimespan(left), Poco::Net::Socket::SELECT_READ)) {
    ReceiveReport();
  }
}

/// Chooses the parent node. A parent that lost the store can still pass on the
/// demands of its neighbours, so it is replaced only when it does not answer or
/// when the preferred parent is tried again.
void
DemandExchange::ChooseParent(TimePoint aNow)
{
  const std::vector<RosterEntry> candidates = mDependencies.mRelay.Upstreams();
  const auto found =
    std::find_if(candidates.begin(), candidates.end(), [&](const auto& it) {
      return mParent && it.mId == mParent->mId && it.mToken == mParent->mToken;
    });
  const bool isCandidate = found != candidates.end();
  const bool responsive = isCandidate && aNow - mParentSeenAt < kParentTimeout;
  if (candidates.empty() || (responsive && aNow < mRetryPreferredAt)) {
    return;
  }
  // The next candidate if the parent does not answer, else the preferred one.
  const bool useNext =
    isCandidate && !responsive && found + 1 != candidates.end();
  const RosterEntry& chosen = useNext ? *(found + 1) : candidates.front();
  mRetryPreferredAt = aNow + kPreferredParentRetryInterval;
  if (isCandidate && chosen.mId == found->mId) {
    return;
  }
  mParent = chosen;
  mParentSeenAt = aNow;
  mDependencies.mLoads.Aggregator().DiscardFromParent();
  mDependencies.mMetrics.CountRelayEvent("report_elsewhere");
}

void
DemandExchange::SendReport()
{
  const TimePoint now = mDependencies.mClock.Now();
  mDependencies.mLoads.Aggregator().DropExpired(now);
  mDependencies.mQuarantine.Refresh(now);
  std::erase_if(mCrashSchedules, [&](const auto& it) {
    return it.second.mNextAt + kScheduleLifetime <= now;
  });
  ChooseParent(now);
  // Only the first node has nobody to report to.
  mDependencies.mQuarantine.SetMakesTrials(!mParent);
  const bool crossZone = mParent && mParent->mZone != mSelf.mZone;
  mNextReportAt =
    now + (crossZone ? kCrossZoneReportInterval : kReportInterval);
  if (!mParent) {
    return;
  }
  const SocketAddress to = AddressOf(mParent->mAddress);
  const std::string token = TokenSet(mParent->mToken).AuthorizationValue();
  SendCrashes(to, token);
  const Demands demands = mDependencies.mLoads.Aggregator().SumForParent(
    mDependencies.mLoads.OwnDemands(now));
  if (demands.empty() && now < mNextIdleReportAt) {
    return;
  }
  mNextIdleReportAt = now + kIdleReportInterval;
  SendDemands(to, token, demands);
}

void
DemandExchange::SendDemands(const SocketAddress& aTo,
                            const std::string& aToken,
                            const Demands& aDemands)
{
  const TimePoint now = mDependencies.mClock.Now();
  DemandReport report{ aToken, {} };
  const auto flush = [&] {
    Send("demand", EncodeReport(report, now), aTo);
    report.mDemands.clear();
  };
  for (const auto& [vm, demand] : aDemands) {
    report.mDemands.emplace(vm, demand);
    if (report.mDemands.size() == kMaxDemandsPerReport) {
      flush();
    }
  }
  if (!report.mDemands.empty() || aDemands.empty()) {
    flush();
  }
}

void
DemandExchange::SendCrashes(const SocketAddress& aTo, const std::string& aToken)
{
  const TimePoint now = mDependencies.mClock.Now();
  CrashSchedule& schedule = mCrashSchedules[aTo.toString()];
  if (now < schedule.mNextAt) {
    return;
  }
  schedule.mNextAt = now + kCrashReportInterval;
  std::vector<CrashNotice> notices =
    mDependencies.mQuarantine.ChangesSince(now - kCrashRepeatTime);
  if (now >= schedule.mNextStrongAt) {
    schedule.mNextStrongAt = now + kStrongEvidenceInterval;
    const std::vector<CrashNotice> strong =
      mDependencies.mQuarantine.StrongEvidence();
    notices.insert(notices.end(), strong.begin(), strong.end());
  }
  for (size_t n = 0; n < notices.size(); n += kMaxNoticesPerReport) {
    const auto first = notices.begin() + static_cast<ptrdiff_t>(n);
    const auto count = static_cast<ptrdiff_t>(
      std::min(kMaxNoticesPerReport, notices.size() - n));
    Send("crash",
         EncodeCrashReport({ aToken, { first, first + count } }, now),
         aTo);
  }
}

void
DemandExchange::Send(const char* aKind,
                     const std::string& aBytes,
                     const SocketAddress& aTo)
{
  const bool isToParent = mParent && aTo == AddressOf(mParent->mAddress);
  mDependencies.mMetrics.CountReportBytes(
    aKind, isToParent ? "parent" : "child", aBytes.size());
  try {
    mSocket.sendTo(aBytes.data(), static_cast<int>(aBytes.size()), aTo);
  } catch (const Poco::Exception&) {
    // A later report replaces this one; the metric counts the lost ones.
    mDependencies.mMetrics.CountRelayEvent("report_unsent");
  }
}

void
DemandExchange::ReceiveReport()
{
  std::array<char, kMaxDatagramBytes> buf;
  SocketAddress from;
  int n = 0;
  try {
    n = mSocket.receiveFrom(buf.data(), static_cast<int>(buf.size()), from);
  } catch (const Poco::Exception&) {
    // The error is about an earlier datagram that could not be delivered; its
    // receiver may have stopped.
    mDependencies.mMetrics.CountRelayEvent("report_undelivered");
    return;
  }
  const std::string_view bytes(buf.data(), static_cast<size_t>(n));
  if (!HandleCrashReport(bytes, from) && !HandleDemandReport(bytes, from)) {
    mDependencies.mMetrics.CountRelayEvent("report_refused");
  }
}

bool
DemandExchange::HandleDemandReport(std::string_view aBytes,
                                   const SocketAddress& aFrom)
{
  const TimePoint now = mDependencies.mClock.Now();
  const std::optional<DemandReport> report = DecodeReport(aBytes, now);
  const std::string node = aFrom.toString();
  if (report && IsFromParent(aFrom, report->mToken)) {
    mParentSeenAt = now;
    mDependencies.mLoads.Aggregator().StoreFromParent(report->mDemands, now);
    return true;
  }
  if (!report || !mDependencies.mTokens.Accepts(report->mToken)) {
    return false;
  }
  mDependencies.mLoads.Aggregator().StoreFromChild(node, report->mDemands, now);
  const std::string token = mDependencies.mTokens.AuthorizationValue();
  SendDemands(aFrom,
              token,
              mDependencies.mLoads.Aggregator().SumForChild(
                node, mDependencies.mLoads.OwnDemands(now)));
  SendCrashes(aFrom, token);
  return true;
}

bool
DemandExchange::HandleCrashReport(std::string_view aBytes,
                                  const SocketAddress& aFrom)
{
  const TimePoint now = mDependencies.mClock.Now();
  const std::optional<CrashReport> report = DecodeCrashReport(aBytes, now);
  if (!report || (!IsFromParent(aFrom, report->mToken) &&
                  !mDependencies.mTokens.Accepts(report->mToken))) {
    return false;
  }
  mDependencies.mQuarantine.Merge(report->mNotices, now);
  return true;
}

bool
DemandExchange::IsFromParent(const SocketAddress& aFrom,
                             std::string_view aToken) const
{
  return mParent && aFrom == AddressOf(mParent->mAddress) &&
         TokenSet(mParent->mToken).Accepts(std::string(aToken));
}

} // namespace hibiscushold
