#pragma once

#include "core/clock.h"
#include "serve/claim.h"
#include "store/platform.h"

#include <deque>
#include <mutex>
#include <optional>

namespace hibiscushold {

/// A claim with its key and version in the store. A request of this node owns
/// it, except where another request's overdue claim is marked as Unknown.
struct OwnedClaim
{
  std::string mKey;
  uint64_t mVersion = 0; ///< store version; 0 if the write was not confirmed
  Claim mClaim;
  TimePoint mSendDeadline; ///< the request must not be sent after it
  std::optional<int64_t> mKeyTimeMillis; ///< Unix time encoded in the key
};

/// Writes the final states of claims to the store and retries, for a limited
/// time, until the store confirms them. Each retry compares the nonce of the
/// stored claim, so a claim that has since been acquired by another request is
/// not changed. Safe for several threads.
class ClaimWriter
{
public:
  /// Final change of a claim.
  enum class Action
  {
    Delete,  ///< the request certainly did not run
    Replace, ///< the claim is replaced by its final state
  };

  ClaimWriter(Platform& aPlatform, const Clock& aClock);

  /// Tries once to replace the claim; on failure queues the write.
  /// @param aNext final state of the claim
  /// @return whether the store confirmed the write
  bool Write(const OwnedClaim& aClaim, const Claim& aNext);

  /// Queues a final change, or drops it if the queue is full. The claim then
  /// remains Running, and becomes Unknown once a duplicate of the request finds
  /// it overdue.
  /// @param aNext final state of the claim, for Action::Replace
  void Queue(const OwnedClaim& aClaim, Action aAction, const Claim& aNext);

  /// Tries each queued change that is due, and queues it again with exponential
  /// backoff if it failed.
  void Step();

  /// @return the number of queued changes
  size_t PendingCount() const;

private:
  struct Entry
  {
    OwnedClaim mClaim;
    Action mAction = Action::Replace;
    Claim mNext;
    TimePoint mNotBefore;
    TimePoint mGiveUpAt;
    uint32_t mTries = 0;
  };

  /// Makes the change, first without and then with reading the stored claim.
  /// @return whether the change took effect or is no longer needed
  bool Reconcile(Entry& aEntry);
  Result<void> Execute(const Entry& aEntry);

  Platform& mPlatform;
  const Clock& mClock;
  mutable std::mutex mLock;
  std::deque<Entry> mQueue;
};

} // namespace hibiscushold
