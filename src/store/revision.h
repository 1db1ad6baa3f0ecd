#pragma once

#include <cstdint>

namespace hibiscushold {

/// The store may return from an older copy. Its era rises then, and revisions
/// of the previous era are used again. Versions of objects and revisions of
/// listings therefore hold the era in their upper bits: any of a later era is
/// higher than all of an earlier one.
inline constexpr unsigned kRevisionBits = 48;
inline constexpr uint64_t kMaxStoreRevision =
  (uint64_t{ 1 } << kRevisionBits) - 1;
inline constexpr uint64_t kMaxEra = UINT64_MAX >> kRevisionBits;

/// @param aEra at most kMaxEra
/// @param aStoreRevision the store's own number, at most kMaxStoreRevision
constexpr uint64_t
MakeRevision(uint64_t aEra, uint64_t aStoreRevision)
{
  return (aEra << kRevisionBits) | aStoreRevision;
}

/// @return the era of a revision; 0 for a store that names none
constexpr uint64_t
EraOf(uint64_t aRevision)
{
  return aRevision >> kRevisionBits;
}

/// @return the store's own number of a revision
constexpr uint64_t
StoreRevisionOf(uint64_t aRevision)
{
  return aRevision & kMaxStoreRevision;
}

} // namespace hibiscushold
