#include "relay/demandport.h"

#include "observe/events.h"

#include <Poco/Net/NetException.h>

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

void
DemandPort::Report()
{
  const TimePoint now = mParts.mClock.Now();
  mParts.mLoads.Board().Forget(now);
  const std::optional<RosterEntry> upstream = mParts.mRelay.Upstream();
  const bool beyond = upstream && upstream->mZone != mSelf.mZone;
  mReportAt = now + (beyond ? kReportGapBeyond : kReportGap);
  if (!upstream) {
    return;
  }
  const SocketAddress to = AddressOf(upstream->mAddress);
  const Demands demands =
    mParts.mLoads.Board().SumFor(to.toString(), mParts.mLoads.Own(now));
  if (demands.empty() && now < mIdleUntil) {
    return;
  }
  mIdleUntil = now + kIdleGap;
  SendDemands(to, TokenBook(upstream->mToken).Field(), demands);
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
  const std::optional<RosterEntry> upstream = mParts.mRelay.Upstream();
  const bool asked = report && mParts.mTokens.Accepts(report->mToken);
  const bool answered = report && upstream &&
                        TokenBook(upstream->mToken).Accepts(report->mToken) &&
                        from == AddressOf(upstream->mAddress);
  if (!asked && !answered) {
    mParts.mMetrics.CountRelay("report_refused");
    return;
  }
  mParts.mLoads.Board().Take(from.toString(), report->mDemands, now);
  if (asked) {
    SendDemands(
      from,
      mParts.mTokens.Field(),
      mParts.mLoads.Board().SumFor(from.toString(), mParts.mLoads.Own(now)));
  }
}

} // namespace hibiscushold
