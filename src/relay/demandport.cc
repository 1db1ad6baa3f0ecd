#include "relay/demandport.h"

#include "observe/events.h"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>

namespace hibiscushold {

namespace {

using Poco::Net::SocketAddress;

/// A node sends a target a few requests a second; what one does should be
/// known to the others before their next one.
constexpr auto kReportGap = milliseconds(25);
/// Bytes between zones cost more.
constexpr auto kReportGapBeyond = milliseconds(60);
/// A node without requests still wants to hear of the others, for its next.
constexpr auto kIdleGap = milliseconds(200);
/// A node that answers none of several reports is left.
constexpr auto kSilence = milliseconds(500);
constexpr auto kFirstAgain = milliseconds(3000);
constexpr size_t kMostDatagramBytes = 4096;

SocketAddress
AddressOf(const Endpoint& aEndpoint)
{
  return { aEndpoint.mHost, aEndpoint.mPort };
}

} // namespace

DemandPort::DemandPort(RosterEntry aSelf, Parts aParts)
  : mSelf(std::move(aSelf))
  , mParts(aParts)
{
}

Result<void>
DemandPort::Open()
{
  try {
    mSocket.bind(AddressOf(mSelf.mAddress), true);
    return boost::outcome_v2::success();
  } catch (const Poco::Exception& e) {
    return Failure{ Error::AddressInUse, e.displayText(), "" };
  }
}

void
DemandPort::Step()
{
  const TimePoint now = mParts.mClock.Now();
  if (now >= mReportAt) {
    Report();
  }
  const Duration left = TimeLeft(mReportAt, mParts.mClock.Now());
  if (mSocket.poll(ToTimespan(left), Poco::Net::Socket::SELECT_READ)) {
    Receive();
  }
}

/// A node that lost the store still knows what its neighbours ask, so it is
/// left only when it does not answer.
void
DemandPort::ChooseAbove(TimePoint aNow)
{
  const std::vector<RosterEntry> candidates = mParts.mRelay.Upstreams();
  const auto found =
    std::find_if(candidates.begin(), candidates.end(), [&](const auto& it) {
      return mAbove && it.mId == mAbove->mId && it.mToken == mAbove->mToken;
    });
  const bool known = found != candidates.end();
  const bool heard = known && aNow - mHeardAt < kSilence;
  if (candidates.empty() || (heard && aNow < mFirstAgainAt)) {
    return;
  }
  // The next one when this one is silent, else the first.
  const bool next = known && !heard && found + 1 != candidates.end();
  const RosterEntry& chosen = next ? *(found + 1) : candidates.front();
  mFirstAgainAt = aNow + kFirstAgain;
  if (known && chosen.mId == found->mId) {
    return;
  }
  mAbove = chosen;
  mHeardAt = aNow;
  mParts.mLoads.Board().ForgetAbove();
  mParts.mMetrics.CountRelay("report_elsewhere");
}

void
DemandPort::Report()
{
  const TimePoint now = mParts.mClock.Now();
  mParts.mLoads.Board().Forget(now);
  ChooseAbove(now);
  const bool beyond = mAbove && mAbove->mZone != mSelf.mZone;
  mReportAt = now + (beyond ? kReportGapBeyond : kReportGap);
  if (!mAbove) {
    return;
  }
  const Demands demands = mParts.mLoads.Board().SumUp(mParts.mLoads.Own(now));
  if (demands.empty() && now < mIdleUntil) {
    return;
  }
  mIdleUntil = now + kIdleGap;
  SendDemands(
    AddressOf(mAbove->mAddress), TokenBook(mAbove->mToken).Field(), demands);
}

void
DemandPort::SendDemands(const SocketAddress& aTo,
                        const std::string& aToken,
                        const Demands& aDemands)
{
  const TimePoint now = mParts.mClock.Now();
  DemandReport report{ aToken, {} };
  const auto flush = [&] {
    const std::string bytes = EncodeReport(report, now);
    try {
      mSocket.sendTo(bytes.data(), static_cast<int>(bytes.size()), aTo);
    } catch (const Poco::Exception&) {
      // The next report replaces this one; the count shows lost ones.
      mParts.mMetrics.CountRelay("report_unsent");
    }
    report.mDemands.clear();
  };
  for (const auto& [vm, demand] : aDemands) {
    report.mDemands.emplace(vm, demand);
    if (report.mDemands.size() == kDemandsInReport) {
      flush();
    }
  }
  if (!report.mDemands.empty() || aDemands.empty()) {
    flush();
  }
}

void
DemandPort::Receive()
{
  std::array<char, kMostDatagramBytes> buf;
  SocketAddress from;
  int n = 0;
  try {
    n = mSocket.receiveFrom(buf.data(), static_cast<int>(buf.size()), from);
  } catch (const Poco::Exception&) {
    // An earlier datagram could not be delivered; its receiver may be gone.
    mParts.mMetrics.CountRelay("report_undelivered");
    return;
  }
  const TimePoint now = mParts.mClock.Now();
  const std::optional<DemandReport> report =
    DecodeReport({ buf.data(), static_cast<size_t>(n) }, now);
  const std::string node = from.toString();
  if (report && mAbove && from == AddressOf(mAbove->mAddress) &&
      TokenBook(mAbove->mToken).Accepts(report->mToken)) {
    mHeardAt = now;
    mParts.mLoads.Board().TakeAbove(report->mDemands, now);
  } else if (report && mParts.mTokens.Accepts(report->mToken)) {
    mParts.mLoads.Board().TakeBelow(node, report->mDemands, now);
    SendDemands(from,
                mParts.mTokens.Field(),
                mParts.mLoads.Board().SumDown(node, mParts.mLoads.Own(now)));
  } else {
    mParts.mMetrics.CountRelay("report_refused");
  }
}

} // namespace hibiscushold
