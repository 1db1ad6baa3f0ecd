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

/// The demands of other nodes. Nodes form a tree: each tells the node above
/// it what it and those below it ask, and each is told from above what all
/// others ask. What came from above is never told upwards, so that demands
/// cannot go round when nodes change places. Safe for several threads.
class DemandBoard
{
public:
  /// Takes in what a node below tells; it holds for a short time.
  void TakeBelow(const std::string& aNode,
                 const Demands& aDemands,
                 TimePoint aNow);

  /// Takes in what the node above tells; it holds for a short time.
  void TakeAbove(const Demands& aDemands, TimePoint aNow);

  /// Drops what the node above told, as another one is asked now.
  void ForgetAbove();

  /// Drops what was told too long ago.
  void Forget(TimePoint aNow);

  /// @return the demands of all others on one target
  TargetDemand Others(const std::string& aVmId) const;

  /// @param aOwn demands of this node
  /// @return what the node above is to be told
  Demands SumUp(Demands aOwn) const;

  /// @param aNode a node below
  /// @param aOwn demands of this node
  /// @return what it is to be told: all but what it told itself
  Demands SumDown(const std::string& aNode, Demands aOwn) const;

private:
  struct Told
  {
    TargetDemand mDemand;
    TimePoint mUntil;
  };

  using ToldByVm = std::map<std::string, Told>;

  static void Take(ToldByVm& aInto, const Demands& aDemands, TimePoint aNow);
  static void Add(Demands& aSum, const ToldByVm& aTold);

  mutable std::mutex mLock; ///< guards the two below
  std::map<std::string, ToldByVm> mBelow;
  ToldByVm mAbove;
};

} // namespace hibiscushold
