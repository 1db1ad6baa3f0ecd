#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// What requests ask of a target, summed over one or more nodes.
struct TargetDemand
{
  uint32_t mWaiting = 0;       ///< requests without an event yet
  uint64_t mWaitingTokens = 0; ///< of their prompts
  uint32_t mStreaming = 0;     ///< streams that have had an event
  TimePoint mProgressAt;       ///< last byte of any answer, if ever

  bool IsIdle() const { return mWaiting == 0 && mStreaming == 0; }
};

/// Adds up demands of the same target.
TargetDemand
operator+(const TargetDemand& aL, const TargetDemand& aR);

/// Demands by VM.
using Demands = std::map<std::string, TargetDemand>;

/// A report of demands, as nodes send it to each other in one datagram.
struct DemandReport
{
  std::string mToken; ///< of the node that others ask
  Demands mDemands;
};

/// Demands that fit into one datagram.
inline constexpr size_t kDemandsInReport = 32;

/// @param aNow progress is sent as its age
/// @return the datagram
std::string
EncodeReport(const DemandReport& aReport, TimePoint aNow);

/// @return the report, or nothing when the bytes are none
std::optional<DemandReport>
DecodeReport(std::string_view aBytes, TimePoint aNow);

/// The demands of other nodes, by the neighbour that told of them. Each hears
/// the sum of all but what it told itself, so that in a tree of nodes every
/// one learns the demand of all others. Safe for several threads.
class DemandBoard
{
public:
  /// Takes in what a neighbour tells; it holds for a short time.
  void Take(const std::string& aNeighbour,
            const Demands& aDemands,
            TimePoint aNow);

  /// Drops what was told too long ago.
  void Forget(TimePoint aNow);

  /// @return the demands of all others on one target
  TargetDemand Others(const std::string& aVmId) const;

  /// @param aOwn demands of this node
  /// @return what the neighbour is to be told
  Demands SumFor(const std::string& aNeighbour, Demands aOwn) const;

private:
  struct Told
  {
    TargetDemand mDemand;
    TimePoint mUntil;
  };

  mutable std::mutex mLock; ///< guards mTold
  std::map<std::string, std::map<std::string, Told>> mTold;
};

} // namespace hibiscushold
