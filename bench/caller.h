#pragma once

#include "core/sessionpool.h"
#include "core/settings.h"

#include <string>

namespace hibiscushold::bench {

/// A request to send.
struct Call
{
  Endpoint mAddress;
  std::string mPath = "/v1/chat/completions";
  std::string mKey;            ///< the account's key
  std::string mIdempotencyKey; ///< empty for none
  std::string mBody;
};

/// The response as the caller received it.
struct CallResult
{
  bool mConnected = false; ///< false if nothing was sent
  int mStatus = 0;         ///< 0 if no status line arrived
  bool mComplete = false;  ///< the whole response arrived
  std::string mBody;       ///< of a response that is not streamed
  std::string mContent;    ///< generated text, plain or streamed
  std::string mRanHeader;  ///< "no", "unknown" or empty
  std::string mRequestId;  ///< as the node reported it
  TimePoint mFirstByteAt;
  TimePoint mEndedAt;
};

/// Makes calls one after another and reuses connections. For one thread.
class Caller
{
public:
  Caller(SessionPool& aPool, const Clock& aClock);

  /// @param aIdleTimeout longest wait for the next bytes
  CallResult Send(const Call& aCall, Duration aIdleTimeout);

private:
  void Exchange(HttpSession& aSession, const Call& aCall, CallResult& aResult);

  SessionPool& mPool;
  const Clock& mClock;
};

/// @return a chat completion request for the prompt
std::string
ChatBody(const std::string& aPrompt, uint32_t aTokens, bool aStream);

/// @return the complete answer of a stand-in engine to ChatBody's request
std::string
ExpectedContent(const std::string& aPrompt, uint32_t aTokens);

} // namespace hibiscushold::bench
