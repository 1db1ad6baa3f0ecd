#include "core/json.h"
#include "nomemory/refusal.h"

#include <exception>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;
using namespace hibiscushold::nomemory;

namespace {

const std::string kLongText(200, 'x');

} // namespace

TEST_GROUP(NoMemoryJson){};

// Guards against JSON that ends early and is sent or stored as it is.
TEST(NoMemoryJson, JsonIsWholeOrThrows)
{
  Json::Value value;
  for (int n = 0; n < 100; ++n) {
    value["text"].append(kLongText);
  }
  const std::string whole = ToJson(value);
  const auto render = [&](size_t aGranted) {
    std::string text;
    bool hasThrown = false;
    {
      const MemoryRefusal refusal(aGranted, 1);
      try {
        text = ToJson(value);
      } catch (const std::exception&) {
        hasThrown = true;
      }
    }
    CHECK(hasThrown || text == whole);
    return MemoryRefusal::HasRefused();
  };
  CHECK(ForEachAllocation(render) > 10);
}
