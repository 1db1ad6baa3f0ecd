#pragma once

#include <string>

namespace hibiscushold {

/// Names of the HTTP headers, and the status code, that the gateway uses with
/// callers and targets. They depend on the platform, whose adapter provides
/// them.
struct ProtocolNames
{
  std::string mRequestId; ///< request id set by the caller; targets echo it
  std::string mDeadline;  ///< milliseconds until the sender gives up
  std::string mLastEvent; ///< id of the last event the sender has received
  std::string mProof;     ///< response: confirms that the target produced it
  std::string mAccount;   ///< request to a target: the account of the API key
  std::string mExpectVm;  ///< request to a target: id of the intended VM
  std::string mNotRun;    ///< response: the request was not run
  std::string mModel;     ///< request: model to use
  std::string
    mTokenCounts;        ///< request: prompt tokens and maximum output tokens
  std::string mPriority; ///< request to an engine: its priority
  int mMisdirected = 0;  ///< status code: the address now belongs to another VM
  std::string mLeaving{};     ///< response: "1" if the target is about to leave
  std::string mRetryAfter{};  ///< response with status 503: seconds for which
                              ///< the target wants no requests from this node
  std::string mPromptParts{}; ///< request: the parts of its prompt, in order
};

} // namespace hibiscushold
