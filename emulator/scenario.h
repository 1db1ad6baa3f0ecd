#pragma once

#include "core/ini.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold::emulator {

enum class FaultKind
{
  Change,       ///< the operator writes the next version
  StoreReturn,  ///< the store is away and returns from an older copy
  StoreCut,     ///< the store turns one node away
  HistoryGone,  ///< the store discards its history
  AnswersLost,  ///< writes are done, but not answered
  WritesLate,   ///< writes are not answered, and done seconds later
  ReadsStale,   ///< calls that allow stale answers get them
  SecondCopies, ///< some targets send their answers twice
  BrokenOff,    ///< some targets break off within their answers
  LostAnswers,  ///< some targets run requests and don't answer
  OpenResets,   ///< some targets reset answers that end with their connection
  NoAnswers,    ///< some targets send bytes that are no answer
  Crashes,      ///< a request that ends its targets comes again and again
  TargetLeaves, ///< a target leaves, and another starts at a free address
  NodeKill,     ///< a node is killed and starts again
  NodeStop,     ///< a node is asked to stop and starts again
  NodeFreeze,   ///< a node is suspended
  OddEntry,     ///< another writer leaves an entry in the list of VMs
  ZoneOut,      ///< the operator takes a zone out of service and puts it back
};

/// How the store is away.
enum class AwayMode
{
  Busy,
  Silent,
  Reset,
};

/// Something that happens once in a run. Times are of the timeline, in ms.
struct Fault
{
  FaultKind mKind = FaultKind::Change;
  int64_t mAt = 0;
  int64_t mFor = 0; ///< how long the node, the store or the zone is away
  size_t mNode = 0; ///< for faults of one node
  size_t mZone = 0; ///< for faults of one zone
  AwayMode mMode = AwayMode::Busy;
  int64_t mLost = 0;         ///< age of the copy that the store returns from
  int64_t mRewriteAfter = 0; ///< until the operator writes its part again
  double mShare = 0.3;       ///< of the targets, for faults of their answers
  bool mVariesQuery = true;  ///< repeats of a request may differ in their query
  std::string mField;        ///< of the odd entry
  std::string mValue;        ///< of the field, as JSON
};

/// What a run consists of.
struct Scenario
{
  uint64_t mSeed = 1;
  int64_t mRunTime = 26000; ///< ms
  size_t mNodes = 4;
  size_t mZones = 2;
  size_t mTargetsPerService = 3;
  size_t mCallersPerNode = 2;
  size_t mAddressSpaceMb = 0; ///< of each node; 0 for no bound
  size_t mTargetZones = 1;    ///< zones that have targets
  double mColdPerSecond = 0;  ///< rate of a cold target; 0 if none is cold
  size_t mZoneOuts = 0;       ///< drawn times at which a zone is taken out
  bool mFollowsZones = false; ///< the nodes' settings have a bound for zones
  bool mHasStreams = false;   ///< callers also ask for streams
  bool mHasMalformed = false; ///< callers also send malformed heads
  std::vector<Fault> mFaults; ///< besides those drawn from the seed
  bool mDrawsFaults = true;
};

/// Reads a scenario file: sections [run] and [sizes] with "name = number", and
/// [faults] with a line "name = kind:KIND at_ms:NUMBER ..." for each fault.
/// @param aErrors receives all faults of the file
Scenario
ParseScenario(std::string_view aText, std::vector<LineError>& aErrors);

/// Draws faults from the scenario's seed. Each purpose has its own stream of
/// random numbers, so that more faults of one kind don't move the others.
/// @return the faults, in order of their times
std::vector<Fault>
DrawFaults(const Scenario& aScenario);

} // namespace hibiscushold::emulator
