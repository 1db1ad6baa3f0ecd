#pragma once

#include "emulator/lines.h"
#include "emulator/store.h"

#include <atomic>

namespace hibiscushold::emulator {

/// Writes the versions of the configuration, and the newest one again if the
/// store has lost it. Thread-safe.
class Operator
{
public:
  Operator(Store& aStore, const Timeline& aTimeline, Recorder& aRecorder);

  /// Writes the next version.
  void Change();
  /// Writes the newest version again.
  void Rewrite();

  /// @return the highest version that the store has acknowledged
  uint64_t NewestAcked() const { return mNewestAcked; }
  /// @return the highest version that was sent to the store
  uint64_t NewestWritten() const { return mNewestWritten; }

private:
  Store& mStore;
  const Timeline& mTimeline;
  Recorder& mRecorder;
  std::mutex mLock; ///< one write at a time
  std::atomic<uint64_t> mNewestAcked{ 0 };
  std::atomic<uint64_t> mNewestWritten{ 0 };
};

} // namespace hibiscushold::emulator
