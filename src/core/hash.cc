#include "core/hash.h"

#include <array>
#include <charconv>

namespace hibiscushold {

namespace {

constexpr uint64_t kFnvPrime = 0x100000001b3;

} // namespace

uint64_t
MixBits(uint64_t aValue)
{
  aValue ^= aValue >> 33;
  aValue *= 0xff51afd7ed558ccd;
  aValue ^= aValue >> 33;
  aValue *= 0xc4ceb9fe1a85ec53;
  return aValue ^ (aValue >> 33);
}

uint64_t
Hash64(std::string_view aText, uint64_t aStart)
{
  uint64_t hash = aStart;
  for (const char it : aText) {
    hash = (hash ^ static_cast<unsigned char>(it)) * kFnvPrime;
  }
  // FNV-1a alone leaves high bits unmixed.
  return MixBits(hash ^ aText.size());
}

std::string
ToHex(uint64_t aValue)
{
  std::array<char, 16> buf;
  const auto [end, ec] =
    std::to_chars(buf.data(), buf.data() + buf.size(), aValue, 16);
  return { buf.data(), end };
}

} // namespace hibiscushold
