#include "core/hash.h"

namespace hibiscushold {

namespace {

constexpr uint64_t kFnvPrime = 0x100000001b3;

/// Final mix of MurmurHash3, as FNV-1a alone leaves high bits unmixed.
uint64_t
Mix(uint64_t aHash)
{
  aHash ^= aHash >> 33;
  aHash *= 0xff51afd7ed558ccd;
  aHash ^= aHash >> 33;
  aHash *= 0xc4ceb9fe1a85ec53;
  return aHash ^ (aHash >> 33);
}

} // namespace

uint64_t
Hash64(std::string_view aText, uint64_t aStart)
{
  uint64_t hash = aStart;
  for (const char it : aText) {
    hash = (hash ^ static_cast<unsigned char>(it)) * kFnvPrime;
  }
  return Mix(hash ^ aText.size());
}

} // namespace hibiscushold
