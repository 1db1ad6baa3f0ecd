#pragma once

#include "core/sessionpool.h"
#include "emulator/lines.h"
#include "emulator/operator.h"

#include <atomic>
#include <random>

namespace hibiscushold::emulator {

/// Sends requests to one node over a connection that it keeps open, one after
/// the other.
class Caller
{
public:
  struct Options
  {
    size_t mNode = 0;
    std::string mHost; ///< IP address of the node
    uint16_t mPort = 0;
    uint64_t mSeed = 0;
    bool mAsksForStreams = false;
    bool mSendsMalformed = false;
  };

  /// @param aNextId the next id of a request, of all callers
  Caller(Options aOptions,
         const Operator& aOperator,
         std::atomic<uint64_t>& aNextId,
         const Timeline& aTimeline,
         Recorder& aRecorder);

  /// Sends requests until aStopping is set.
  void Run(const std::atomic<bool>& aStopping);

  /// Sends a request that ends its targets on a connection of its own.
  /// @param aVariesQuery whether repeats have different queries, or none
  void SendCrash(bool aVariesQuery);

private:
  RequestLine MakeRequest();
  Endpoint Address() const;
  /// Sends a request and records it with its end.
  void Send(HttpSession& aSession,
            RequestLine aLine,
            const std::string& aQuery);
  /// Sends a request with a malformed head on a connection of its own.
  void SendMalformed();

  const Options mOptions;
  const SystemClock mClock;
  const Operator& mOperator;
  std::atomic<uint64_t>& mNextId;
  const Timeline& mTimeline;
  Recorder& mRecorder;
  std::mt19937_64 mRandom;
};

} // namespace hibiscushold::emulator
