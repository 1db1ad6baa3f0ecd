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

/// Requests in progress at a target, summed over one or more nodes.
struct TargetDemand
{
  uint32_t mWaiting = 0;       ///< requests without an event yet
  uint64_t mWaitingTokens = 0; ///< prompt tokens of these
  uint32_t mStreaming = 0;     ///< streams that have had an event
  TimePoint mProgressAt; ///< when a response byte last arrived; zero if never
  uint64_t mDelayedTokens = 0; ///< of mWaitingTokens, of delayed requests

  bool IsIdle() const { return mWaiting == 0 && mStreaming == 0; }
};

/// Adds demands at the same target; the result has the later progress time.
TargetDemand
operator+(const TargetDemand& aL, const TargetDemand& aR);

/// Demands by VM.
using Demands = std::map<std::string, TargetDemand>;

/// A report of demands that one node sends to another in a datagram.
struct DemandReport
{
  std::string mToken; ///< token of the parent; authenticates the report
  Demands mDemands;
};

/// Number of demands that fit into one datagram.
inline constexpr size_t kMaxDemandsPerReport = 32;

/// @param aNow time from which the age of the last progress is computed; nodes
///        have no common clock
/// @return the content of the datagram
std::string
EncodeReport(const DemandReport& aReport, TimePoint aNow);

/// @param aNow time from which the reported ages are subtracted
/// @return the report, or nothing when the bytes are not a valid report
std::optional<DemandReport>
DecodeReport(std::string_view aBytes, TimePoint aNow);

/// Aggregates the demands of other nodes. Nodes form a tree: each reports the
/// sum of its own demands and its children's to its parent, and receives the
/// sum of all other nodes from it. Demands received from the parent are never
/// reported to a parent, so that they cannot circulate while nodes change their
/// places in the tree. Thread-safe.
class DemandAggregator
{
public:
  /// Stores the demands that a child reports; they expire after a short time.
  /// @param aNode the child
  void StoreFromChild(const std::string& aNode,
                      const Demands& aDemands,
                      TimePoint aNow);

  /// Stores the demands that the parent reports; they expire after the same
  /// time.
  void StoreFromParent(const Demands& aDemands, TimePoint aNow);

  /// Discards the demands from the parent; called when the parent changes.
  void DiscardFromParent();

  /// Discards expired demands.
  void DropExpired(TimePoint aNow);

  /// @return the demand of all other nodes at one target
  TargetDemand DemandOfOthers(const std::string& aVmId) const;

  /// @param aOwn demands of this node
  /// @return demands to report to the parent
  Demands SumForParent(Demands aOwn) const;

  /// @param aNode a child
  /// @param aOwn demands of this node
  /// @return demands to report to the child: all except those that it reported
  Demands SumForChild(const std::string& aNode, Demands aOwn) const;

private:
  struct ReceivedDemand
  {
    TargetDemand mDemand;
    TimePoint mExpiresAt;
  };

  using ReceivedByVm = std::map<std::string, ReceivedDemand>;

  /// The demands of all nodes at one target. They are summed as reports arrive,
  /// since a parent of many nodes answers each report with the sums.
  struct Total
  {
    TargetDemand mSum;
    TimePoint mOtherProgressAt; ///< latest of nodes other than mProgressFrom
    std::string mProgressFrom;  ///< the node of mSum.mProgressAt
    uint32_t mNodes = 0;        ///< that report the target
  };

  /// The lock must be held in all of these.
  void Store(const std::string& aNode, const Demands& aDemands, TimePoint aNow);
  void AddToTotal(std::string aNode,
                  const std::string& aVmId,
                  const TargetDemand& aDemand);
  void RemoveFromTotal(const std::string& aVmId, const TargetDemand& aDemand);
  /// @return aOwn and the demands of all nodes but one
  Demands SumWithout(const std::string& aNode, Demands aOwn) const;

  mutable std::mutex mLock; ///< guards the members below
  /// By node; those of the parent under an empty name.
  std::map<std::string, ReceivedByVm> mReceived;
  std::map<std::string, Total> mTotals; ///< by VM
};

} // namespace hibiscushold
