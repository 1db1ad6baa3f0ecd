#pragma once

#include "emulator/lines.h"
#include "emulator/store.h"

#include <atomic>
#include <map>
#include <string>

namespace hibiscushold::emulator {

/// Writes the versions of the configuration, and the newest one again if the
/// store has lost it, and the entries of zones out of service. Thread-safe.
class Operator
{
public:
  /// @param aColdPerSecond rate of cold targets, 0 for none
  Operator(Store& aStore,
           double aColdPerSecond,
           const Timeline& aTimeline,
           Recorder& aRecorder);

  /// Writes the next version.
  void Change();
  /// Writes the newest version and the entries of zones again.
  void Rewrite();
  /// Takes a zone out of service.
  void TakeOut(const std::string& aZone);
  /// Puts a zone back that was taken out.
  void PutBack(const std::string& aZone);

  /// @return the highest version that the store has acknowledged
  uint64_t NewestAcked() const { return mNewestAcked; }
  /// @return the highest version that was sent to the store
  uint64_t NewestWritten() const { return mNewestWritten; }

private:
  void WriteConfig();

  Store& mStore;
  const double mColdPerSecond;
  const Timeline& mTimeline;
  Recorder& mRecorder;
  std::mutex mLock; ///< one write at a time; guards mZones
  /// Zones by name, with true if they are out of service.
  std::map<std::string, bool> mZones;
  std::map<std::string, int64_t> mOutSince; ///< acknowledged, by zone
  std::atomic<uint64_t> mNewestAcked{ 0 };
  std::atomic<uint64_t> mNewestWritten{ 0 };
};

} // namespace hibiscushold::emulator
