#pragma once

#include "bench/caller.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hibiscushold::bench {

/// A request of the mixed run and its response.
struct MixedCall
{
  bool mAtMostOnce = false; ///< for the plain service, may run at most once
  std::string mText;        ///< the prompt, or the body for the service
  uint32_t mTokens = 0;
  CallResult mResult;
};

/// Outcomes of the calls of a run; the last four must be 0.
struct MixedCounts
{
  uint64_t mCalls = 0;
  uint64_t mAnswered = 0;
  uint64_t mRefusedNotRun = 0;  ///< refused and reported as not run
  uint64_t mRefusedUnknown = 0; ///< refused, may have run
  uint64_t mBroken = 0;         ///< visibly incomplete for the caller
  uint64_t mDoubled = 0;        ///< at-most-once requests that ran repeatedly
  uint64_t mCrossed = 0;        ///< answers to another request
  uint64_t mTruncated = 0;      ///< incomplete, but ended like complete ones
  uint64_t mFalseNotRun = 0;    ///< reported as not run, but ran
};

/// Classifies and counts the calls of a run.
/// @param aEngineRuns how often each request id ran at an engine
/// @param aServiceRuns how often each body ran at the service
MixedCounts
CountMixed(const std::vector<MixedCall>& aCalls,
           const std::map<std::string, uint64_t>& aEngineRuns,
           const std::map<std::string, uint64_t>& aServiceRuns);

} // namespace hibiscushold::bench
