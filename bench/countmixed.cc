#include "bench/mixed.h"

#include "core/ids.h"

namespace hibiscushold::bench {

namespace {

uint64_t
RunsOf(const std::map<std::string, uint64_t>& aRuns, const std::string& aName)
{
  const auto it = aRuns.find(aName);
  return it == aRuns.end() ? 0 : it->second;
}

/// Checks the content of a complete response with status 200.
void
CheckAnswer(const MixedCall& aCall, MixedCounts& aCounts)
{
  ++aCounts.mAnswered;
  if (aCall.mAtMostOnce) {
    const bool isOwnAnswer =
      aCall.mResult.mBody.find(Sha256Hex(aCall.mText)) != std::string::npos;
    aCounts.mCrossed += isOwnAnswer ? 0 : 1;
    return;
  }
  const std::string expected = ExpectedContent(aCall.mText, aCall.mTokens);
  const std::string& content = aCall.mResult.mContent;
  if (content == expected) {
    return;
  }
  if (expected.starts_with(content)) {
    ++aCounts.mTruncated;
  } else {
    ++aCounts.mCrossed;
  }
}

} // namespace

MixedCounts
CountMixed(const std::vector<MixedCall>& aCalls,
           const std::map<std::string, uint64_t>& aEngineRuns,
           const std::map<std::string, uint64_t>& aServiceRuns)
{
  MixedCounts counts;
  // By body: whether all calls with it were reported as not run.
  std::map<std::string, bool> allNotRun;
  for (const MixedCall& it : aCalls) {
    ++counts.mCalls;
    const bool notRun = it.mResult.mRanHeader == "no";
    if (it.mAtMostOnce) {
      const auto first = allNotRun.emplace(it.mText, true).first;
      first->second = first->second && notRun;
    }
    if (it.mResult.mStatus == 0 || !it.mResult.mComplete) {
      ++counts.mBroken;
    } else if (it.mResult.mStatus == 200) {
      CheckAnswer(it, counts);
    } else if (notRun) {
      ++counts.mRefusedNotRun;
      const uint64_t runs = RunsOf(aEngineRuns, it.mResult.mRequestId);
      counts.mFalseNotRun += !it.mAtMostOnce && runs > 0 ? 1 : 0;
    } else {
      ++counts.mRefusedUnknown;
    }
  }
  for (const auto& [body, notRun] : allNotRun) {
    const uint64_t runs = RunsOf(aServiceRuns, body);
    counts.mDoubled += runs > 1 ? 1 : 0;
    counts.mFalseNotRun += notRun && runs > 0 ? 1 : 0;
  }
  return counts;
}

} // namespace hibiscushold::bench
