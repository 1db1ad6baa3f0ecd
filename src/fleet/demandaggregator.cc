#include "fleet/demandaggregator.h"

#include <Poco/BinaryReader.h>
#include <Poco/BinaryWriter.h>
#include <Poco/MemoryStream.h>

#include <algorithm>
#include <optional>
#include <sstream>

namespace hibiscushold {

namespace {

/// Long enough that a few lost reports in a row do not expire a demand.
constexpr auto kDemandLifetime = milliseconds(400);
/// Encodes that there was no progress yet, or that its age does not fit.
constexpr uint16_t kNoAge = 65535;

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
           std::max(aL.mProgressAt, aR.mProgressAt) };
}

std::string
EncodeReport(const DemandReport& aReport, TimePoint aNow)
{
  std::ostringstream stream;
  Poco::BinaryWriter out(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
  out << aReport.mToken << static_cast<uint16_t>(aReport.mDemands.size());
  for (const auto& [vm, demand] : aReport.mDemands) {
    out << vm << static_cast<uint16_t>(demand.mWaiting)
        << static_cast<uint32_t>(demand.mWaitingTokens)
        << static_cast<uint16_t>(demand.mStreaming)
        << AgeOf(demand.mProgressAt, aNow);
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
  in >> report.mToken >> n;
  for (uint16_t i = 0; i < n && in.good(); ++i) {
    std::string vm;
    uint16_t waiting = 0;
    uint32_t tokens = 0;
    uint16_t streaming = 0;
    uint16_t age = kNoAge;
    in >> vm >> waiting >> tokens >> streaming >> age;
    const TimePoint progressAt =
      age == kNoAge ? TimePoint{} : aNow - milliseconds(age);
    report.mDemands[vm] = { waiting, tokens, streaming, progressAt };
  }
  if (in.fail() || report.mDemands.size() != n) {
    return std::nullopt;
  }
  return report;
}

void
DemandAggregator::Store(ReceivedByVm& aInto,
                        const Demands& aDemands,
                        TimePoint aNow)
{
  for (const auto& [vm, demand] : aDemands) {
    aInto[vm] = { demand, aNow + kDemandLifetime };
  }
}

void
DemandAggregator::AddTo(Demands& aSum, const ReceivedByVm& aReceived)
{
  for (const auto& [vm, it] : aReceived) {
    aSum[vm] = aSum[vm] + it.mDemand;
  }
}

void
DemandAggregator::StoreFromChild(const std::string& aNode,
                                 const Demands& aDemands,
                                 TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  Store(mFromChildren[aNode], aDemands, aNow);
}

void
DemandAggregator::StoreFromParent(const Demands& aDemands, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  Store(mFromParent, aDemands, aNow);
}

void
DemandAggregator::DiscardFromParent()
{
  const std::lock_guard guard(mLock);
  mFromParent.clear();
}

void
DemandAggregator::DropExpired(TimePoint aNow)
{
  const auto isExpired = [&](const auto& aIt) {
    return aIt.second.mExpiresAt <= aNow;
  };
  const std::lock_guard guard(mLock);
  std::erase_if(mFromParent, isExpired);
  for (auto& [node, received] : mFromChildren) {
    std::erase_if(received, isExpired);
  }
  std::erase_if(mFromChildren,
                [](const auto& it) { return it.second.empty(); });
}

TargetDemand
DemandAggregator::DemandOfOthers(const std::string& aVmId) const
{
  TargetDemand sum;
  const auto add = [&](const ReceivedByVm& aReceived) {
    const auto it = aReceived.find(aVmId);
    if (it != aReceived.end()) {
      sum = sum + it->second.mDemand;
    }
  };
  const std::lock_guard guard(mLock);
  add(mFromParent);
  for (const auto& [node, received] : mFromChildren) {
    add(received);
  }
  return sum;
}

Demands
DemandAggregator::SumForParent(Demands aOwn) const
{
  Demands sum = std::move(aOwn);
  const std::lock_guard guard(mLock);
  for (const auto& [node, received] : mFromChildren) {
    AddTo(sum, received);
  }
  return sum;
}

Demands
DemandAggregator::SumForChild(const std::string& aNode, Demands aOwn) const
{
  Demands sum = std::move(aOwn);
  const std::lock_guard guard(mLock);
  AddTo(sum, mFromParent);
  for (const auto& [node, received] : mFromChildren) {
    if (node != aNode) {
      AddTo(sum, received);
    }
  }
  return sum;
}

} // namespace hibiscushold
