#include "gateway/promptparts.h"

#include "core/hash.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace hibiscushold;

TEST_GROUP(PromptParts){};

TEST(PromptParts, LastPartIsLeftOut)
{
  const std::vector<uint64_t> parts = ParseSharedParts("5c:800, 91BD:410,e4:1");
  CHECK_EQUAL(2U, parts.size());
  CHECK(Hash64("5c") == parts[0]);
  CHECK(Hash64("91bd") == parts[1]);
  CHECK(ParseSharedParts("5c:800").empty());
  CHECK(ParseSharedParts("").empty());
}

// Guards against a caller who fills a node's memory with a list of parts.
TEST(PromptParts, NumberOfPartsIsLimited)
{
  std::string field;
  for (int n = 0; n < 5000; ++n) {
    field += ",:," + std::to_string(n) + ":1";
  }
  CHECK_EQUAL(kMaxPromptParts, ParseSharedParts(field + ",f:1").size());
}

// Guards against nodes of different builds that name the same part differently.
TEST(PromptParts, HashIsFixed)
{
  CHECK(0xefd01f60ba992926 == Hash64(""));
  CHECK(Hash64("ab") != Hash64("ba"));
  CHECK(Hash64("b", Hash64("a")) != Hash64("ab"));
}
