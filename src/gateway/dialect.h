#pragma once

#include <string>

namespace hibiscushold {

/// The names that callers and targets use for fields of their messages. The
/// adapter of a platform fills them in.
struct Dialect
{
  std::string mRequestId; ///< the caller's id; targets echo it
  std::string mDeadline;  ///< milliseconds that the sender will wait
  std::string mLastEvent; ///< id of the last event that the sender has
  std::string mProof;     ///< on an answer: the target made it
  std::string mAccount;   ///< on a request to a target: the key's account
  std::string mExpectVm;  ///< on a request to a target: the VM meant
  std::string mNotRun;    ///< on an answer: the request was not run
  std::string mModel;     ///< model that a request is for
  std::string mTokens;    ///< prompt tokens and most answer tokens
  std::string mPriority;  ///< on a request to an engine
  int mMisdirected = 0;   ///< status: another VM has the address
};

} // namespace hibiscushold
