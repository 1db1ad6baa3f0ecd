#include "relay/gonenodes.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace hibiscushold {

namespace {

/// Calls without an answer, and the time over which they were sent, after which
/// a doubt is stated. A node that was killed starts again within seconds.
constexpr uint32_t kSilentCalls = 3;
constexpr auto kSilentTime = milliseconds(4000);
/// A node that runs reads the roster every few seconds, also at the end of a
/// chain of upstreams.
constexpr auto kDoubtTime = milliseconds(10000);
/// A node that can't reach another one, which runs, writes this seldom.
constexpr auto kTrustTime = milliseconds(60000);

bool
IsSilent(const GoneNodes& aGone, const std::string& aId, TimePoint aNow)
{
  const auto it = aGone.mSilences.find(aId);
  return it != aGone.mSilences.end() && it->second.mCalls >= kSilentCalls &&
         aNow - it->second.mSince >= kSilentTime;
}

} // namespace

std::vector<RosterEntry>
RingAfter(const Roster& aRoster, const std::string& aSelf)
{
  using Place = std::pair<uint64_t, std::string_view>;
  const auto placeOf = [](const std::string& aId) {
    return Place(Hash64(aId), aId);
  };
  std::vector<RosterEntry> ring;
  for (const auto& [id, node] : aRoster) {
    if (id != aSelf) {
      ring.push_back(node.mEntry);
    }
  }
  std::sort(ring.begin(), ring.end(), [&](const auto& aL, const auto& aR) {
    return placeOf(aL.mId) < placeOf(aR.mId);
  });
  const auto next = std::find_if(ring.begin(), ring.end(), [&](const auto& it) {
    return placeOf(aSelf) < placeOf(it.mId);
  });
  std::rotate(ring.begin(), next, ring.end());
  return ring;
}

void
RecordCall(GoneNodes& aGone,
           const std::string& aNodeId,
           bool aAnswered,
           TimePoint aSentAt)
{
  if (aAnswered) {
    aGone.mSilences.erase(aNodeId);
    return;
  }
  NodeSilence& silence = aGone.mSilences[aNodeId];
  if (silence.mCalls++ == 0) {
    silence.mSince = aSentAt;
  }
}

void
RecordRoster(GoneNodes& aGone, const Roster& aRoster, TimePoint aNow)
{
  const auto isMissing = [&](const auto& it) {
    return !aRoster.contains(it.first);
  };
  std::erase_if(aGone.mSilences, isMissing);
  std::erase_if(aGone.mDoubts, isMissing);
  std::erase_if(aGone.mTrustedUntil, isMissing);
  for (const auto& [id, node] : aRoster) {
    const auto doubt = aGone.mDoubts.find(id);
    if (!node.mEntry.mIsDoubted) {
      if (doubt != aGone.mDoubts.end()) {
        aGone.mDoubts.erase(doubt);
        aGone.mSilences.erase(id);
        aGone.mTrustedUntil[id] = aNow + kTrustTime;
      }
    } else if (doubt == aGone.mDoubts.end() ||
               doubt->second.mVersion != node.mVersion) {
      aGone.mDoubts[id] = { node.mVersion, aNow };
    }
  }
}

std::vector<GoneNodeWrite>
FindWrites(const GoneNodes& aGone, const Roster& aRoster, TimePoint aNow)
{
  std::vector<GoneNodeWrite> writes;
  for (const auto& [id, node] : aRoster) {
    if (!IsSilent(aGone, id, aNow)) {
      continue;
    }
    const auto doubt = aGone.mDoubts.find(id);
    if (doubt != aGone.mDoubts.end()) {
      if (aNow - doubt->second.mSeenAt >= kDoubtTime) {
        writes.push_back({ id, node.mVersion, true });
      }
      continue;
    }
    const auto trusted = aGone.mTrustedUntil.find(id);
    if (trusted == aGone.mTrustedUntil.end() || aNow >= trusted->second) {
      writes.push_back({ id, node.mVersion, false });
    }
  }
  return writes;
}

} // namespace hibiscushold
