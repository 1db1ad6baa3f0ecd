#include "fleet/demandaggregator.h"

#include "core/binarytext.h"
#include "core/textstream.h"

#include <Poco/BinaryReader.h>
#include <Poco/BinaryWriter.h>
#include <Poco/MemoryStream.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace hibiscushold {

namespace {

/// Long enough that a few lost reports in a row do not expire a demand.
constexpr auto kDemandLifetime = milliseconds(400);
/// Encodes that there was no progress yet, or that its age does not fit.
constexpr uint16_t kNoAge = 65535;
/// Stands for the parent among the names of nodes.
const std::string kParent;

uint16_t
AgeOf(TimePoint aProgressAt, TimePoint aNow)
{
  const int64_t age = ToMillis(aNow - aProgressAt);
  const bool known = aProgressAt != TimePoint{} && age < kNoAge;
  return known ? static_cast<uint16_t>(std::max<int64_t>(0, age)) : kNoAge;
}

} // namespace

TargetDemand
operator+(const TargetDemand& aL, const TargetDemand& aR)
{
  return { aL.mWaiting + aR.mWaiting,
           aL.mWaitingTokens + aR.mWaitingTokens,
           aL.mStreaming + aR.mStreaming,
           std::max(aL.mProgressAt, aR.mProgressAt),
           aL.mDelayedTokens + aR.mDelayedTokens };
}

std::string
EncodeReport(const DemandReport& aReport, TimePoint aNow)
{
  TextStream stream;
  Poco::BinaryWriter out(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
  out << aReport.mToken << static_cast<uint16_t>(aReport.mDemands.size());
  for (const auto& [vm, demand] : aReport.mDemands) {
    out << vm << static_cast<uint16_t>(demand.mWaiting)
        << static_cast<uint32_t>(demand.mWaitingTokens)
        << static_cast<uint16_t>(demand.mStreaming)
        << AgeOf(demand.mProgressAt, aNow)
        << static_cast<uint32_t>(demand.mDelayedTokens);
  }
  out.flush();
  return stream.str();
}

std::optional<DemandReport>
DecodeReport(std::string_view aBytes, TimePoint aNow)
{
  Poco::MemoryInputStream stream(aBytes.data(),
                                 static_cast<std::streamsize>(aBytes.size()));
  Poco::BinaryReader in(stream, Poco::BinaryReader::NETWORK_BYTE_ORDER);
  DemandReport report;
  uint16_t n = 0;
  ReadText(in, report.mToken);
  in >> n;
  for (uint16_t i = 0; i < n && in.good(); ++i) {
    std::string vm;
    uint16_t waiting = 0;
    uint32_t tokens = 0;
    uint16_t streaming = 0;
    uint16_t age = kNoAge;
    uint32_t delayed = 0;
    ReadText(in, vm);
    in >> waiting >> tokens >> streaming >> age >> delayed;
    const TimePoint progressAt =
      age == kNoAge ? TimePoint{} : aNow - milliseconds(age);
    report.mDemands[vm] = { waiting, tokens, streaming, progressAt, delayed };
  }
  if (in.fail() || report.mDemands.size() != n) {
    return std::nullopt;
  }
  return report;
}

void
DemandAggregator::AddToTotal(std::string aNode,
                             const std::string& aVmId,
                             const TargetDemand& aDemand)
{
  Total& total = mTotals[aVmId]; // nothing after this may throw
  TimePoint& latest = total.mSum.mProgressAt;
  const TimePoint progressAt = aDemand.mProgressAt;
  const bool isOther = aNode != total.mProgressFrom;
  if (isOther && progressAt > latest) {
    total.mOtherProgressAt = latest;
    total.mProgressFrom = std::move(aNode);
  } else if (isOther) {
    total.mOtherProgressAt = std::max(total.mOtherProgressAt, progressAt);
  }
  total.mSum = total.mSum + aDemand;
  ++total.mNodes;
}

void
DemandAggregator::RemoveFromTotal(const std::string& aVmId,
                                  const TargetDemand& aDemand)
{
  const auto it = mTotals.find(aVmId);
  Total& total = it->second;
  total.mSum.mWaiting -= aDemand.mWaiting;
  total.mSum.mWaitingTokens -= aDemand.mWaitingTokens;
  total.mSum.mStreaming -= aDemand.mStreaming;
  total.mSum.mDelayedTokens -= aDemand.mDelayedTokens;
  if (--total.mNodes == 0) {
    mTotals.erase(it);
  }
}

void
DemandAggregator::Store(const std::string& aNode,
                        const Demands& aDemands,
                        TimePoint aNow)
{
  ReceivedByVm& received = mReceived[aNode];
  for (const auto& [vm, demand] : aDemands) {
    const auto [it, isNew] = received.try_emplace(vm);
    try {
      AddToTotal(aNode, vm, demand);
    } catch (...) {
      if (isNew) {
        received.erase(it);
      }
      throw;
    }
    if (!isNew) {
      RemoveFromTotal(vm, it->second.mDemand);
    }
    it->second = { demand, aNow + kDemandLifetime };
  }
}

void
DemandAggregator::StoreFromChild(const std::string& aNode,
                                 const Demands& aDemands,
                                 TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  Store(aNode, aDemands, aNow);
}

void
DemandAggregator::StoreFromParent(const Demands& aDemands, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  Store(kParent, aDemands, aNow);
}

void
DemandAggregator::DiscardFromParent()
{
  const std::lock_guard guard(mLock);
  for (const auto& [vm, it] : mReceived[kParent]) {
    RemoveFromTotal(vm, it.mDemand);
  }
  mReceived.erase(kParent);
}

void
DemandAggregator::DropExpired(TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  for (auto& [node, received] : mReceived) {
    std::erase_if(received, [&](const auto& it) {
      const bool isExpired = it.second.mExpiresAt <= aNow;
      if (isExpired) {
        RemoveFromTotal(it.first, it.second.mDemand);
      }
      return isExpired;
    });
  }
  std::erase_if(mReceived, [](const auto& it) { return it.second.empty(); });
}

TargetDemand
DemandAggregator::DemandOfOthers(const std::string& aVmId) const
{
  const std::lock_guard guard(mLock);
  const auto it = mTotals.find(aVmId);
  return it == mTotals.end() ? TargetDemand{} : it->second.mSum;
}

Demands
DemandAggregator::SumForParent(Demands aOwn) const
{
  const std::lock_guard guard(mLock);
  return SumWithout(kParent, std::move(aOwn));
}

Demands
DemandAggregator::SumForChild(const std::string& aNode, Demands aOwn) const
{
  const std::lock_guard guard(mLock);
  return SumWithout(aNode, std::move(aOwn));
}

Demands
DemandAggregator::SumWithout(const std::string& aNode, Demands aOwn) const
{
  const auto received = mReceived.find(aNode);
  Demands sum = std::move(aOwn);
  for (const auto& [vm, total] : mTotals) {
    TargetDemand demand = total.mSum;
    if (total.mProgressFrom == aNode) {
      demand.mProgressAt = total.mOtherProgressAt;
    }
    if (received != mReceived.end()) {
      const auto it = received->second.find(vm);
      if (it != received->second.end()) {
        if (total.mNodes == 1) {
          continue;
        }
        demand.mWaiting -= it->second.mDemand.mWaiting;
        demand.mWaitingTokens -= it->second.mDemand.mWaitingTokens;
        demand.mStreaming -= it->second.mDemand.mStreaming;
        demand.mDelayedTokens -= it->second.mDemand.mDelayedTokens;
      }
    }
    sum[vm] = sum[vm] + demand;
  }
  return sum;
}

} // namespace hibiscushold
