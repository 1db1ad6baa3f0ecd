#include "core/ids.h"

#include "core/hash.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>
#include <Poco/UUIDGenerator.h>
#include <boost/container_hash/hash.hpp>

namespace hibiscushold {

std::string
NewId()
{
  return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

std::string
Sha256Hex(std::string_view aText)
{
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(aText.data(), aText.size());
  return Poco::DigestEngine::digestToHex(engine.digest());
}

bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  size_t diff = aLeft.size() ^ aRight.size();
  for (size_t i = 0; i < aLeft.size() && !aRight.empty(); ++i) {
    const char right = aRight[i % aRight.size()];
    diff |= static_cast<unsigned char>(aLeft[i] ^ right);
  }
  return diff == 0;
}

uint64_t
RendezvousScore(std::string_view aKey, std::string_view aNode)
{
  size_t seed = boost::hash_range(aKey.begin(), aKey.end());
  boost::hash_combine(seed, boost::hash_range(aNode.begin(), aNode.end()));
  // Keys that differ in their last byte only get well-distributed scores.
  return MixBits(seed);
}

} // namespace hibiscushold
