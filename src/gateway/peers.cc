#include "gateway/peers.h"

#include <Poco/String.h>

#include <algorithm>

namespace hibiscushold {

bool
IsPeerField(std::string_view aName)
{
  const std::string name(aName);
  return Poco::icompare(name, std::string(kElsewhereField)) == 0 ||
         Poco::icompare(name, std::string(kTargetField)) == 0;
}

const Peer*
ChoosePeer(std::span<const Peer> aPeers,
           const std::set<std::string>& aTried,
           TimePoint aNow,
           double aFraction)
{
  std::vector<const Peer*> usable;
  for (const Peer& it : aPeers) {
    if (!it.mEntry.mCallers.mHost.empty() && it.mAvoidUntil <= aNow &&
        !aTried.contains(it.mEntry.mId)) {
      usable.push_back(&it);
    }
  }
  if (usable.empty()) {
    return nullptr;
  }
  return usable[static_cast<size_t>(aFraction *
                                    static_cast<double>(usable.size()))];
}

Peers::Peers(const TokenSet& aTokens, uint32_t aMaxServed, TimePoint aNow)
  : mTokens(aTokens)
  , mMaxServed(aMaxServed)
  , mReach(aNow)
{
}

void
Peers::Set(std::vector<RosterEntry> aEntries)
{
  const std::lock_guard guard(mLock);
  std::vector<Peer> peers;
  for (RosterEntry& entry : aEntries) {
    const auto known =
      std::find_if(mPeers.begin(), mPeers.end(), [&](const Peer& it) {
        return it.mEntry.mId == entry.mId;
      });
    const TimePoint avoidUntil =
      known == mPeers.end() ? TimePoint{} : known->mAvoidUntil;
    peers.push_back({ std::move(entry), avoidUntil });
  }
  mPeers = std::move(peers);
}

std::optional<RosterEntry>
Peers::Choose(const std::set<std::string>& aTried,
              TimePoint aNow,
              double aFraction) const
{
  const std::lock_guard guard(mLock);
  const Peer* chosen = ChoosePeer(mPeers, aTried, aNow, aFraction);
  return chosen == nullptr ? std::nullopt : std::optional(chosen->mEntry);
}

void
Peers::AvoidUntil(const std::string& aNodeId, TimePoint aUntil)
{
  const std::lock_guard guard(mLock);
  for (Peer& it : mPeers) {
    if (it.mEntry.mId == aNodeId) {
      it.mAvoidUntil = std::max(it.mAvoidUntil, aUntil);
    }
  }
}

bool
Peers::Accepts(std::string_view aField) const
{
  return mTokens.Accepts(aField);
}

bool
Peers::TryBeginServing()
{
  if (mServed.fetch_add(1) < mMaxServed) {
    return true;
  }
  --mServed;
  return false;
}

void
Peers::EndServing()
{
  --mServed;
}

} // namespace hibiscushold
