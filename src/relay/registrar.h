#pragma once

#include "relay/relayedplatform.h"

#include <atomic>

namespace hibiscushold {

/// Keeps this node's entry in the store as it should be, follows those of the
/// others, and tells the relay whom to ask.
class Registrar
{
public:
  /// @param aSelf the entry as it should be; its token is for a new one
  /// @param aTokens gets the token of the entry
  Registrar(RosterEntry aSelf, TokenBook& aTokens, RelayedPlatform& aRelay);

  /// Reads the entries, or waits for a change of them, and takes it in.
  void Step();

  /// Takes the own entry off, so that nobody asks this node any more.
  void Leave();

  /// @return whether the entries were read, or cannot be had for now
  bool HasLooked() const { return mLooked; }

private:
  Result<Listing> Read();
  void Take(const Listing& aListing, bool aWhole);
  void Reconcile();
  void NoteWrite(const char* aAction, const Result<uint64_t>& aWritten);
  std::string Value() const;

  const RosterEntry mSelf;
  TokenBook& mTokens;
  RelayedPlatform& mRelay;
  const std::string mKey;
  uint64_t mRevision = 0; ///< 0: has to be listed
  Roster mRoster;
  std::atomic<uint64_t> mOwnVersion{ 0 };
  std::atomic<bool> mLooked{ false };
  std::atomic<bool> mLeft{ false };
};

} // namespace hibiscushold
