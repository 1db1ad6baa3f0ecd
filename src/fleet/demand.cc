#include "fleet/demand.h"

#include <Poco/BinaryReader.h>
#include <Poco/BinaryWriter.h>
#include <Poco/MemoryStream.h>

#include <algorithm>
#include <optional>
#include <sstream>

namespace hibiscushold {

namespace {

/// Several reports in a row may be lost before what they told is dropped.
constexpr auto kToldLife = milliseconds(400);
/// An age that stands for "never".
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
DemandBoard::Take(ToldByVm& aInto, const Demands& aDemands, TimePoint aNow)
{
  for (const auto& [vm, demand] : aDemands) {
    aInto[vm] = { demand, aNow + kToldLife };
  }
}

void
DemandBoard::Add(Demands& aSum, const ToldByVm& aTold)
{
  for (const auto& [vm, it] : aTold) {
    aSum[vm] = aSum[vm] + it.mDemand;
  }
}

void
DemandBoard::TakeBelow(const std::string& aNode,
                       const Demands& aDemands,
                       TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  Take(mBelow[aNode], aDemands, aNow);
}

void
DemandBoard::TakeAbove(const Demands& aDemands, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  Take(mAbove, aDemands, aNow);
}

void
DemandBoard::ForgetAbove()
{
  const std::lock_guard guard(mLock);
  mAbove.clear();
}

void
DemandBoard::Forget(TimePoint aNow)
{
  const auto isOld = [&](const auto& aIt) { return aIt.second.mUntil <= aNow; };
  const std::lock_guard guard(mLock);
  std::erase_if(mAbove, isOld);
  for (auto& [node, told] : mBelow) {
    std::erase_if(told, isOld);
  }
  std::erase_if(mBelow, [](const auto& it) { return it.second.empty(); });
}

TargetDemand
DemandBoard::Others(const std::string& aVmId) const
{
  TargetDemand sum;
  const auto add = [&](const ToldByVm& aTold) {
    const auto it = aTold.find(aVmId);
    if (it != aTold.end()) {
      sum = sum + it->second.mDemand;
    }
  };
  const std::lock_guard guard(mLock);
  add(mAbove);
  for (const auto& [node, told] : mBelow) {
    add(told);
  }
  return sum;
}

Demands
DemandBoard::SumUp(Demands aOwn) const
{
  Demands sum = std::move(aOwn);
  const std::lock_guard guard(mLock);
  for (const auto& [node, told] : mBelow) {
    Add(sum, told);
  }
  return sum;
}

Demands
DemandBoard::SumDown(const std::string& aNode, Demands aOwn) const
{
  Demands sum = std::move(aOwn);
  const std::lock_guard guard(mLock);
  Add(sum, mAbove);
  for (const auto& [node, told] : mBelow) {
    if (node != aNode) {
      Add(sum, told);
    }
  }
  return sum;
}

} // namespace hibiscushold
