#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace hibiscushold {

/// What requests can have in common that crashes targets: a shared part of
/// their prompts, what repeats of a request share, or their whole content.
using TraitId = uint64_t;

/// The traits of one request.
struct RequestTraits
{
  TraitId mContent = 0;        ///< hash of the whole request
  std::vector<TraitId> mParts; ///< shared parts of its prompt, in order
  /// Hash of account, path and body, which repeats of a request share although
  /// their queries may differ.
  std::optional<TraitId> mResource{};
};

/// The ranks of a request's resource and of its whole content. Parts of a
/// prompt rank between them by their position, so that later ones, which fewer
/// requests share, rank higher.
inline constexpr uint8_t kResourceRank = 0;
inline constexpr uint8_t kMinPartRank = 1;
inline constexpr uint8_t kMaxPartRank = 254;
inline constexpr uint8_t kContentRank = 255;

/// A trait with its rank.
struct RankedTrait
{
  TraitId mTrait = 0;
  uint8_t mRank = 0;
};

/// @return the traits that count, the request's whole content first
std::vector<RankedTrait>
RankedTraitsOf(const RequestTraits& aTraits);

/// The end of a target while a request with a trait was at it.
struct Crash
{
  uint64_t mTarget = 0;      ///< identifies one start of a VM
  TraitId mContent = 0;      ///< of the request
  TimePoint mAt;             ///< when it was first noticed
  bool mRefuted = false;     ///< the trait or the target turned out to be sound
  bool mAtBeginning = false; ///< the answer to the request had just begun

  bool operator==(const Crash&) const = default;
};

/// What speaks against a trait.
struct Suspect
{
  uint8_t mRank = 0;
  bool mWasAnswered = false;   ///< there were answers shortly before a crash
  std::vector<Crash> mCrashes; ///< at most one for each target
};

using Suspects = std::map<TraitId, Suspect>;

/// Crashes that a trait needs at least to count as their cause.
inline constexpr size_t kMinCrashes = 3;
/// How long crashes stand against a trait with answers before they count, as an
/// answer that refutes them takes its time.
inline constexpr auto kTimeToRefute = milliseconds(2000);
/// Targets that end within this time of each other may have one common cause,
/// such as the loss of a zone, and count as one crash.
inline constexpr auto kMinCrashDistance = milliseconds(40);

/// @return the crashes that still speak against the trait
std::vector<Crash>
NotRefuted(const Suspect& aSuspect);

/// Counts crashes that happened apart from each other.
/// @param aCrashes without refuted ones
size_t
CountApart(std::span<const Crash> aCrashes);

/// Finds the traits that explain the most crashes. A crash that one of them
/// explains says nothing about the other requests at the same target, so traits
/// that were only nearby are left out.
/// @param aKnown culprits found before, which are kept while enough crashes
///               speak against them: as they no longer reach targets, others
///               may have more by now
/// @return the traits that crash targets
std::set<TraitId>
FindCulprits(const Suspects& aSuspects,
             const std::set<TraitId>& aKnown,
             TimePoint aNow);

} // namespace hibiscushold
