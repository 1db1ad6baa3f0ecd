#pragma once

#include "core/clock.h"
#include "standin/target.h"

#include <json/value.h>

#include <condition_variable>
#include <mutex>
#include <string>

namespace hibiscushold::standin {

/// Stand-in for the model engine of one VM. The answer is a pure function of
/// the prompt, so that callers can check that it is complete and their own.
///
/// Faults in addition to those of Target: crash_mark (a request that contains
/// the value ends the process), truncate (number of answers cut in the middle),
/// crossed (number of answers with a wrong attempt id), ignore_fencing (orders
/// with an old fencing number are executed), refuse (number of requests refused
/// as not run), slow_token (additional ms per token).
class EngineStandin
{
public:
  explicit EngineStandin(const VmOptions& aOptions);

  Endpoint Address() const { return mTarget.Address(); }
  FaultSwitches& Faults() { return mTarget.Faults(); }

private:
  void Handle(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);
  void HandleStatus(HTTPServerResponse& aResponse);
  void HandleOrder(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);
  void HandleCompletion(HTTPServerRequest& aRequest,
                        HTTPServerResponse& aResponse);
  /// Responds with "not run" if the engine isn't ready, serves another
  /// generation of the group or has the fault refuse.
  /// @return whether it responded
  bool RefuseIfUnavailable(HTTPServerRequest& aRequest,
                           HTTPServerResponse& aResponse);
  void SendStream(HTTPServerRequest& aRequest,
                  HTTPServerResponse& aResponse,
                  const std::string& aPrompt,
                  uint32_t aTokens);
  void SendPlain(HTTPServerRequest& aRequest,
                 HTTPServerResponse& aResponse,
                 const std::string& aPrompt,
                 uint32_t aTokens);
  /// Takes the time of one token.
  void WaitForToken();
  bool IsReady() const;

  struct Slot;

  const VmOptions mOptions;
  const SystemClock mClock;
  mutable std::mutex mLock;
  std::condition_variable mSlotFreed;
  uint64_t mLastFencing = 0;
  Json::Value mOrder;
  TimePoint mReadyAt;
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  Target mTarget;
};

/// @return the content of token aIndex of the answer to aPrompt
std::string
TokenOf(const std::string& aPrompt, uint32_t aIndex);

} // namespace hibiscushold::standin
