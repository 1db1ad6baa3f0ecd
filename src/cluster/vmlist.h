#pragma once

#include "store/platform.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace hibiscushold {

/// The latest copy of the platform's VM list, in which drained VMs have the
/// state VmState::Leaving. Thread-safe.
class VmList
{
public:
  using ListPtr = std::shared_ptr<const std::vector<Vm>>;

  explicit VmList(Platform& aPlatform);

  /// Reads the list once and publishes it if it has changed. To be called by
  /// one thread only.
  Result<void> Poll();

  /// Sets which VMs are drained and publishes the list if that has changed.
  /// @param aDrains the incarnations to drain, by VM id
  void SetDrains(std::map<std::string, std::string> aDrains);

  /// @return the latest list, never null
  ListPtr Vms() const;

private:
  void Publish(); ///< to be called under mLock

  Platform& mPlatform;
  uint64_t mRevision = 0; ///< of mListed; used only by Poll
  mutable std::mutex mLock;
  std::vector<Vm> mListed;                    ///< as read, without drains
  std::map<std::string, std::string> mDrains; ///< incarnation by VM id
  ListPtr mVms;
};

} // namespace hibiscushold
