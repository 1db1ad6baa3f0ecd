#pragma once

#include "rules/rules.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hibiscushold {

/// Number of priority classes.
inline constexpr size_t kPriorities = 3;

/// A request that waits to be started.
struct QueuedRequest
{
  uint64_t mId = 0;
  std::string mAccount;
  uint32_t mShare = 1;
  Priority mPriority = Priority::Normal;
};

/// Queue of waiting requests. Higher priority classes go first; within a class,
/// accounts are served by start-time fair queueing, weighted by share. Not
/// thread-safe.
class FairQueue
{
public:
  void Push(QueuedRequest aRequest);

  /// Removes and returns the request to start next.
  std::optional<QueuedRequest> Pop();

  /// Removes and returns the request to drop first: the latest request of the
  /// account with the most requests relative to its share, in the lowest
  /// priority class with any.
  std::optional<QueuedRequest> Shed();

  /// Removes one request at any position.
  /// @return whether the request was in the queue
  bool Remove(uint64_t aId);

  size_t Size() const;

  /// @return number of waiting requests of this and higher priority classes
  size_t SizeUpTo(Priority aPriority) const;

  /// @return estimated number of waiting requests that start before a new
  ///         request of this class and account
  size_t CountAhead(Priority aPriority,
                    const std::string& aAccount,
                    uint32_t aShare) const;

private:
  /// Waiting requests of one account in a class.
  struct Flow
  {
    std::deque<QueuedRequest> mRequests;
    double mVirtualStart = 0; ///< start tag of the first request
    uint32_t mShare = 1;
  };

  /// Waiting requests of one priority class.
  struct Class
  {
    std::map<std::string, Flow> mFlows;
    double mVirtualTime = 0; ///< start tag of the latest request removed by Pop
    size_t mSize = 0;
  };

  static std::optional<QueuedRequest> PopFrom(Class& aClass);
  static QueuedRequest ShedFrom(Class& aClass);
  /// Removes empty flows that no longer affect the order of later requests.
  static void RemoveIdleFlows(Class& aClass);

  std::array<Class, kPriorities> mClasses;
};

} // namespace hibiscushold
