#include "emulator/judge.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>

namespace hibiscushold::emulator {

namespace {

using Kind = DisturbanceLine::Kind;

/// The versions that a node may have had when it handled a request.
struct VersionRange
{
  uint64_t mLow = 0;
  uint64_t mHigh = 0;
};

/// @return the highest version of the service up to aNewest, or 0
uint64_t
NewestAt(uint64_t aService, uint64_t aNewest)
{
  for (uint64_t it = aNewest; it > 0; --it) {
    if (it % kMovedServices == aService) {
      return it;
    }
  }
  return 0;
}

VersionRange
VersionsOf(const RequestLine& aRequest)
{
  const VersionRange any{ 0, aRequest.mNewestWritten };
  if (aRequest.mVerdict == Verdict::Open || aRequest.mProbe == Probe::Once ||
      aRequest.mProbe == Probe::Crash || aRequest.mProbe == Probe::Stream) {
    return any;
  }
  if (aRequest.mProbe == Probe::Moved) {
    return aRequest.mVerdict == Verdict::Accepted
             ? VersionRange{ 0,
                             NewestAt(aRequest.mService,
                                      aRequest.mNewestWritten) }
             : any;
  }
  if (aRequest.mVerdict == Verdict::Accepted) {
    return { aRequest.mVersion, aRequest.mVersion + 1 };
  }
  // Denied by a version before it, or by one after the last that has it.
  return aRequest.mNewestWritten > aRequest.mVersion + 1
           ? any
           : VersionRange{ 0, aRequest.mVersion - 1 };
}

bool
Concerns(const DisturbanceLine& aLine, size_t aNode)
{
  return aLine.mKind == Kind::Store || aLine.mNode == aNode;
}

/// @return whether nothing disturbed the node or the store from aFrom to aUntil
bool
IsUndisturbed(const Lines& aLines, size_t aNode, int64_t aFrom, int64_t aUntil)
{
  return std::none_of(aLines.mDisturbances.begin(),
                      aLines.mDisturbances.end(),
                      [&](const DisturbanceLine& it) {
                        return Concerns(it, aNode) && it.mFrom <= aUntil &&
                               it.mUntil >= aFrom;
                      });
}

bool
WasInTouch(const Lines& aLines,
           const JudgeBounds& aBounds,
           const RequestLine& aRequest)
{
  return IsUndisturbed(aLines,
                       aRequest.mNode,
                       aRequest.mSentAt - aBounds.mTouchMillis,
                       aRequest.mEndedAt);
}

/// @return the last start of the node before a time
int64_t
StartBefore(const Lines& aLines, size_t aNode, int64_t aTime)
{
  int64_t start = 0;
  for (const DisturbanceLine& it : aLines.mDisturbances) {
    const bool starts = it.mKind == Kind::Start || it.mKind == Kind::Stop;
    if (starts && it.mNode == aNode && it.mUntil <= aTime) {
      start = std::max(start, it.mUntil);
    }
  }
  return start;
}

std::string
Describe(uint64_t aHigh, uint64_t aExpected, int64_t aMillis)
{
  return "handled by version " + std::to_string(aHigh) + " or older; version " +
         std::to_string(aExpected) + " " + std::to_string(aMillis) +
         " ms before";
}

/// @return the acknowledgement after which the key or route is gone, or nothing
const VersionLine*
FindRemoval(const Lines& aLines, uint64_t aVersion)
{
  for (const VersionLine& it : aLines.mVersions) {
    if (it.mVersion >= aVersion + 2) {
      return &it;
    }
  }
  return nullptr;
}

void
JudgeLate(const Lines& aLines,
          const JudgeBounds& aBounds,
          const RequestLine& aRequest,
          std::vector<Breach>& aBreaches)
{
  const VersionRange versions = VersionsOf(aRequest);
  for (const VersionLine& it : aLines.mVersions) {
    const int64_t age = aRequest.mSentAt - it.mAckedAt;
    if (age > aBounds.mConfigMillis && versions.mHigh < it.mVersion) {
      if (WasInTouch(aLines, aBounds, aRequest)) {
        aBreaches.push_back(
          { "CONFIG",
            aRequest,
            Describe(versions.mHigh, it.mVersion, age) + " acknowledged" });
      }
      return;
    }
  }
}

void
JudgeRevoked(const Lines& aLines,
             const JudgeBounds& aBounds,
             const RequestLine& aRequest,
             std::vector<Breach>& aBreaches)
{
  if (aRequest.mProbe != Probe::Key || aRequest.mVerdict != Verdict::Accepted) {
    return;
  }
  const VersionLine* removal = FindRemoval(aLines, aRequest.mVersion);
  if (removal != nullptr &&
      aRequest.mSentAt > removal->mAckedAt + aBounds.mRevokeMillis) {
    aBreaches.push_back(
      { "CONFIG",
        aRequest,
        "a key is accepted " +
          std::to_string(aRequest.mSentAt - removal->mAckedAt) +
          " ms after version " + std::to_string(removal->mVersion) +
          " took it away" });
  }
}

/// Targets that a request may end before the time to react runs, and repeats
/// that may reach targets later.
constexpr size_t kCrashesBeforeReaction = 3;
constexpr size_t kRepeatsAllowed = 3;

bool
SaysNotRun(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

bool
SaysMalformed(int aStatus)
{
  return aStatus == 400 || aStatus == 431;
}

/// @return whether the node was killed or suspended during the request
bool
WasInterrupted(const Lines& aLines, const RequestLine& aRequest)
{
  return std::any_of(aLines.mDisturbances.begin(),
                     aLines.mDisturbances.end(),
                     [&](const DisturbanceLine& it) {
                       const bool interrupts =
                         it.mKind == Kind::Start || it.mKind == Kind::Freeze;
                       return interrupts && it.mNode == aRequest.mNode &&
                              it.mFrom <= aRequest.mEndedAt &&
                              it.mUntil >= aRequest.mSentAt;
                     });
}

} // namespace

std::vector<Breach>
JudgeConfig(const Lines& aLines, const JudgeBounds& aBounds)
{
  std::vector<Breach> breaches;
  /// By node and start: the highest version seen, and when it was first seen.
  std::map<std::pair<size_t, int64_t>, std::map<uint64_t, int64_t>> seen;
  std::vector<RequestLine> requests = aLines.mRequests;
  std::sort(
    requests.begin(), requests.end(), [](const auto& aL, const auto& aR) {
      return aL.mEndedAt < aR.mEndedAt;
    });
  for (const RequestLine& it : requests) {
    JudgeLate(aLines, aBounds, it, breaches);
    JudgeRevoked(aLines, aBounds, it, breaches);
    const int64_t start = StartBefore(aLines, it.mNode, it.mSentAt);
    if (start != StartBefore(aLines, it.mNode, it.mEndedAt)) {
      continue;
    }
    const VersionRange versions = VersionsOf(it);
    std::map<uint64_t, int64_t>& bySeen = seen[{ it.mNode, start }];
    for (const auto& [version, since] : bySeen) {
      if (version > versions.mHigh &&
          it.mSentAt > since + aBounds.mRollbackMillis) {
        breaches.push_back(
          { "CONFIG",
            it,
            Describe(versions.mHigh, version, it.mSentAt - since) +
              " in force" });
        break;
      }
    }
    bySeen.try_emplace(versions.mLow, it.mEndedAt);
  }
  return breaches;
}

std::vector<Breach>
JudgeDrain(const Lines& aLines, const JudgeBounds& aBounds)
{
  std::unordered_map<uint64_t, const RequestLine*> requests;
  /// By node and target: when the node first passed on its announcement.
  std::map<std::pair<size_t, std::string>, int64_t> announced;
  for (const RequestLine& it : aLines.mRequests) {
    requests[it.mId] = &it;
    if (!it.mLeavingTarget.empty()) {
      const auto [found, isNew] =
        announced.try_emplace({ it.mNode, it.mLeavingTarget }, it.mEndedAt);
      found->second = std::min(found->second, it.mEndedAt);
    }
  }
  std::map<std::string, int64_t> acked;
  for (const LeavingLine& it : aLines.mLeavings) {
    acked.try_emplace(it.mTarget, it.mAckedAt);
  }
  std::vector<Breach> breaches;
  for (const ArrivalLine& it : aLines.mArrivals) {
    const auto found = requests.find(it.mId);
    if (found == requests.end()) {
      continue;
    }
    const RequestLine& request = *found->second;
    const auto ack = acked.find(it.mTarget);
    if (ack != acked.end() &&
        request.mSentAt > ack->second + aBounds.mDrainMillis &&
        WasInTouch(aLines, aBounds, request)) {
      breaches.push_back({ "DRAIN",
                           request,
                           it.mTarget + " left " +
                             std::to_string(request.mSentAt - ack->second) +
                             " ms before" });
    }
    const auto announcement = announced.find({ request.mNode, it.mTarget });
    if (announcement != announced.end() &&
        request.mSentAt > announcement->second + aBounds.mDrainMillis &&
        std::none_of(aLines.mDisturbances.begin(),
                     aLines.mDisturbances.end(),
                     [&](const DisturbanceLine& aLine) {
                       return aLine.mNode == request.mNode &&
                              aLine.mKind != Kind::Store &&
                              aLine.mKind != Kind::Cut &&
                              aLine.mUntil >= announcement->second;
                     })) {
      breaches.push_back(
        { "DRAIN",
          request,
          it.mTarget + " announced that it leaves " +
            std::to_string(request.mSentAt - announcement->second) +
            " ms before" });
    }
  }
  return breaches;
}

std::vector<Breach>
JudgeAnswers(const Lines& aLines)
{
  std::unordered_map<uint64_t, std::vector<std::string>> targets;
  for (const ArrivalLine& it : aLines.mArrivals) {
    targets[it.mId].push_back(it.mTarget);
  }
  std::vector<Breach> breaches;
  for (const RequestLine& it : aLines.mRequests) {
    const std::vector<std::string>& ran = targets[it.mId];
    if (it.mIsNoAnswer) {
      breaches.push_back({ "MIXED", it, "bytes that are no answer" });
    }
    if (it.mProbe == Probe::Stream && it.mVerdict == Verdict::Accepted) {
      if (!it.mIsOwnAnswer) {
        breaches.push_back({ "ORDER", it, "not its own events, all in order" });
      }
      continue;
    }
    if (it.mVerdict == Verdict::Accepted &&
        (!it.mIsOwnAnswer ||
         std::find(ran.begin(), ran.end(), it.mTarget) == ran.end())) {
      breaches.push_back({ "MIXED", it, "not its own whole answer" });
    }
    if (it.mProbe == Probe::Once && ran.size() > 1) {
      breaches.push_back({ "TWICE", it, ran[0] + " and " + ran[1] });
    }
    if (it.mProbe == Probe::Once && !ran.empty() && SaysNotRun(it.mStatus)) {
      breaches.push_back({ "REFUSED", it, "ran at " + ran[0] });
    }
    if (it.mStatus == 0 && !ran.empty() && !WasInterrupted(aLines, it)) {
      breaches.push_back({ "LOST", it, "ran at " + ran[0] });
    }
  }
  return breaches;
}

std::vector<Breach>
JudgeRequests(const Lines& aLines)
{
  std::unordered_map<uint64_t, const RequestLine*> requests;
  std::vector<Breach> breaches;
  for (const RequestLine& it : aLines.mRequests) {
    requests[it.mId] = &it;
    if (!it.mIsMalformed && SaysMalformed(it.mStatus)) {
      breaches.push_back(
        { "DENIED", it, "status " + std::to_string(it.mStatus) });
    }
  }
  for (const ArrivalLine& it : aLines.mArrivals) {
    const auto found = requests.find(it.mId);
    if (found == requests.end()) {
      RequestLine request;
      request.mId = it.mId;
      request.mSentAt = it.mAt;
      breaches.push_back(
        { "UNASKED", request, "an id of no caller ran at " + it.mTarget });
    } else if (found->second->mIsMalformed ||
               found->second->mDigest != it.mDigest) {
      breaches.push_back({ "UNASKED",
                           *found->second,
                           it.mTarget + " got other bytes, or a malformed "
                                        "request" });
    }
  }
  return breaches;
}

std::vector<Breach>
JudgeEnds(const Lines& aLines)
{
  std::vector<Breach> breaches;
  for (const EndLine& it : aLines.mEnds) {
    RequestLine request;
    request.mNode = it.mNode;
    request.mSentAt = it.mAt;
    breaches.push_back({ "FAULT", request, "ended by itself, " + it.mHow });
  }
  return breaches;
}

std::vector<Breach>
JudgeBudget(const Lines& aLines, const JudgeBounds& aBounds)
{
  std::unordered_map<uint64_t, const RequestLine*> crashing;
  for (const RequestLine& it : aLines.mRequests) {
    if (it.mProbe == Probe::Crash) {
      crashing[it.mId] = &it;
    }
  }
  std::vector<ArrivalLine> arrivals = aLines.mArrivals;
  std::erase_if(arrivals,
                [&](const auto& it) { return !crashing.contains(it.mId); });
  std::sort(arrivals.begin(),
            arrivals.end(),
            [](const auto& aL, const auto& aR) { return aL.mAt < aR.mAt; });
  std::set<std::string> ended;
  int64_t boundAt = std::numeric_limits<int64_t>::max();
  size_t late = 0;
  std::vector<Breach> breaches;
  for (const ArrivalLine& it : arrivals) {
    const RequestLine& request = *crashing.at(it.mId);
    if (it.mAt > boundAt && WasInTouch(aLines, aBounds, request) &&
        ++late > kRepeatsAllowed) {
      breaches.push_back({ "BUDGET",
                           request,
                           std::to_string(ended.size()) +
                             " targets had ended, repeat " +
                             std::to_string(late) });
    }
    if (ended.insert(it.mTarget).second &&
        ended.size() == kCrashesBeforeReaction) {
      boundAt = it.mAt + aBounds.mTouchMillis;
    }
  }
  return breaches;
}

} // namespace hibiscushold::emulator
