#include "core/ini.h"
#include "nomemory/refusal.h"

#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;
using namespace hibiscushold::nomemory;

TEST_GROUP(NoMemoryFile){};

// Guards against rules or settings that end early because reading them was
// refused memory.
TEST(NoMemoryFile, AFileIsReadWholeOrNotAtAll)
{
  const std::string path =
    "/tmp/hibiscushold-nomemory-" + std::to_string(getpid());
  const std::string whole(50'000, 'x');
  std::ofstream(path) << whole;
  const auto read = [&](size_t aGranted) {
    bool isRefused = false;
    std::string text = whole;
    {
      const MemoryRefusal refusal(aGranted, 1);
      try {
        const Result<std::string> got = ReadTextFile(path, 100'000);
        isRefused = MemoryRefusal::HasRefused();
        text = got ? got.value() : whole;
      } catch (const std::exception&) {
        isRefused = true;
      }
    }
    CHECK(text == whole);
    return isRefused;
  };
  CHECK(ForEachAllocation(read) > 3);
  std::remove(path.c_str());
}
