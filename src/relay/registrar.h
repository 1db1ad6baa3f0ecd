#pragma once

#include "relay/relayedplatform.h"

#include <atomic>

namespace hibiscushold {

/// Keeps this node's entry in the store as it should be, follows those of the
/// others, and tells the relay whom to ask.
class Registrar
{
public:
  Registrar(RosterEntry aSelf, RelayedPlatform& aRelay);

  /// Writes the own entry for the first time, before others are looked for.
  void Register();

  /// Waits for a change of the entries and takes it in.
  void Step();

  /// Takes the own entry off, so that nobody asks this node any more.
  void Leave();

  /// @return whether the entries were read, or cannot be had for now
  bool HasLooked() const { return mLooked; }

private:
  Result<Listing> Read();
  void Take(const Listing& aListing, bool aWhole);
  void Reconcile();

  const RosterEntry mSelf;
  RelayedPlatform& mRelay;
  const std::string mKey;
  const std::string mValue; ///< the own entry as it should be
  uint64_t mRevision = 0;   ///< 0: has to be listed
  Roster mRoster;
  std::atomic<uint64_t> mOwnVersion{ 0 };
  std::atomic<bool> mLooked{ false };
  std::atomic<bool> mLeft{ false };
};

} // namespace hibiscushold
