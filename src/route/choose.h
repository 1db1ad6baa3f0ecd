#pragma once

#include "core/settings.h"
#include "route/adaptivelimit.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hibiscushold {

/// A target that can be sent a request now.
struct Candidate
{
  std::string mId;   ///< group id, or VM id for a plain service
  std::string mVmId; ///< VM to which the request is sent
  Endpoint mAddress;
  uint64_t mGeneration = 0;
  bool mSameZone = false;
  uint32_t mInFlight = 0; ///< requests from this node
  uint32_t mLimit = 1;    ///< maximum number of requests from this node
  std::optional<LoadReport> mLoadReport; ///< none for plain services
  bool mTried = false; ///< an earlier attempt of the request failed here
  double mWeight = 1;  ///< 0 while ejected, below 1 while it recovers
};

/// Key by which a request is mapped to a target.
struct Affinity
{
  std::string_view mPrefix; ///< start of the prompt; empty for none
  uint64_t mRandom = 0;     ///< used as the key if there is no prefix
};

/// Chooses a target by rendezvous hashing on the prefix with bounded load. The
/// targets are ordered by zone, this node's own first, and then by score, and
/// the first one with room is chosen. Targets that were tried already or are
/// ejected come last. Without a prefix, the less loaded of two random targets
/// is chosen.
/// @return index of the chosen candidate, or nothing if there are no candidates
std::optional<size_t>
ChooseCandidate(std::span<const Candidate> aCandidates,
                const Affinity& aAffinity,
                TimePoint aNow);

} // namespace hibiscushold
