#pragma once

#include "emulator/lines.h"

#include <sys/types.h>

#include <string>

namespace hibiscushold::emulator {

/// @return an address of the loopback network that no other process on the
///         machine uses, so that its ports are free whenever a node starts
std::string
OwnLoopbackAddress();

/// Where a node listens and what it is told.
struct NodeOptions
{
  size_t mIndex = 0;
  std::string mProgram; ///< path of the hibiscushold binary
  std::string mFolder;  ///< for its settings and its log
  std::string mZone;
  std::string mStoreAddress;
  std::string mHost; ///< IP address that it listens on
  uint16_t mCallerPort = 0;
  uint16_t mReadyPort = 0;
  uint16_t mPeerPort = 0;
  size_t mMaxAddressSpace = 0; ///< bytes; 0 for no bound
  bool mFollowsZones = false;
};

/// A node of the system as a process. Signals go only to the process that this
/// object has started.
class NodeProcess
{
public:
  NodeProcess(NodeOptions aOptions,
              const Timeline& aTimeline,
              Recorder& aRecorder);
  ~NodeProcess();

  /// @param aIsFirstStart whether the whole system starts
  void Start(bool aIsFirstStart);
  /// Kills the process, waits, and starts it again.
  void Restart(milliseconds aDownTime);
  /// Asks the process to stop, kills it after the grace time, and starts it.
  void StopAndStart(milliseconds aGrace);
  /// Records that the process has ended by itself, if it has, and starts it
  /// again a moment later.
  void RestartIfEnded();
  /// Suspends the process for a time.
  void Freeze(milliseconds aTime);

  const NodeOptions& Options() const { return mOptions; }

private:
  void End(int aSignal, milliseconds aGrace);
  void Record(DisturbanceLine::Kind aKind, int64_t aFrom);

  const NodeOptions mOptions;
  const Timeline& mTimeline;
  Recorder& mRecorder;
  pid_t mPid = 0; ///< 0 while none runs
};

} // namespace hibiscushold::emulator
