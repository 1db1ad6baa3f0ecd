#include "core/compress.h"
#include "core/ids.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

/// @return a text like a list of VMs
std::string
MakeListing(int aEntries)
{
  std::string text;
  for (int n = 0; n < aEntries; ++n) {
    text += R"({"key":"servers/)" + NewId() +
            R"(","value":"{\"service\":\"lm\",\"state\":\"ready\"}"},)";
  }
  return text;
}

} // namespace

TEST_GROUP(Compress){};

TEST(Compress, RestoresTheBytes)
{
  const std::string listing = MakeListing(2000);
  for (const std::string& it : { std::string("x"), listing }) {
    CHECK(it == Inflate(Deflate(it), it.size()).value());
  }
  CHECK(Deflate(listing).size() < listing.size() / 2);
}

// Guards against a node whose memory is filled by few bytes of another one.
TEST(Compress, BoundsTheResult)
{
  const std::string zeros(5'000'000, '0');
  const Result<std::string> inflated = Inflate(Deflate(zeros), 1'000'000);
  CHECK(Error::ReplyInvalid == inflated.error().mError);
}

// Guards against a part of a listing that is taken for the whole.
TEST(Compress, RefusesBytesThatAreCutOffOrMalformed)
{
  const std::string listing = MakeListing(2000);
  const std::string compressed = Deflate(listing);
  for (const size_t n :
       { size_t{ 1 }, compressed.size() / 2, compressed.size() - 100 }) {
    CHECK(!Inflate(compressed.substr(0, n), listing.size()));
  }
  CHECK(!Inflate("not compressed at all", 100));
  std::string changed = compressed;
  changed[changed.size() / 2] =
    static_cast<char>(changed[changed.size() / 2] ^ 1);
  CHECK(!Inflate(changed, listing.size()));
}
