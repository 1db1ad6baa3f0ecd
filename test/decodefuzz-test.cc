#include "platform/decode.h"
#include "platform/objectjson.h"
#include "relay/roster.h"

#include <array>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr int kRuns = 20000;

/// Items of a list, as the platform, operators and nodes write them.
constexpr std::array<std::string_view, 4> kItems{
  R"({"metadata":{"name":"i-1","rev":7,"finalizers":[]},"spec":{"service":"s",
    "addr":"10.0.0.9:80","zone":"z","state":"ready","born":17,"domain":"d",
    "slots":26,"seq":4,"staged":["m",{"name":"n"}],
    "models":[{"name":"m","version":1}],
    "group":{"name":"g7","epoch":12,"rank":2,"state":"ready"}}})",
  R"({"metadata":{"name":"main","rev":9},"spec":{"version":7,"routes":[{"name":
    "r","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":8000,
    "slo_ms":300,"split":[{"service":"s","weight":90}]}],"services":[{"name":
    "s","engine":{"slots":26,"models":[{"name":"m","size":4,"share":0.5,
    "load_s":16.0}],"loads_per_s":4.5}}],"limits":{"idle_ms":15000},
    "tenants":[{"name":"yard","keys":["k1","k2"]}]}})",
  R"({"metadata":{"name":"n1","rev":3},"spec":{"zone":"a","address":"10.0.0.1:7",
    "token":"t","capacity":0.25,"callers":"10.0.0.1:80"}})",
  R"({"metadata":{"name":"b","rev":1},"spec":null})"
};

/// Texts that decoders of numbers, strings and nesting may stumble over.
constexpr std::array<std::string_view, 14> kOddTexts{
  "1e400",       "-1",   "99999999999999999999",
  "\"\\ud800\"", "[[[[", "]]]]",
  "\\",          "\"",   "null",
  "0.0.0.0:0",   "\n",   ",",
  ":",           "{"
};

std::string
Mutate(std::string_view aText, std::mt19937& aRandom)
{
  std::string text(aText);
  const auto below = [&](size_t aEnd) {
    return std::uniform_int_distribution<size_t>(0, aEnd - 1)(aRandom);
  };
  for (size_t n = below(4) + 1; n > 0 && !text.empty(); --n) {
    const size_t at = below(text.size());
    switch (below(4)) {
      case 0:
        text[at] = static_cast<char>(below(256));
        break;
      case 1:
        text.erase(at, below(20) + 1);
        break;
      case 2:
        text.insert(at, kOddTexts[below(kOddTexts.size())]);
        break;
      default:
        text.insert(at, text.substr(below(text.size()), below(40)));
        break;
    }
  }
  return text;
}

/// Passes an item through all decoders, as a list of any kind may have it.
void
Decode(std::string_view aItem)
{
  for (const char* it : { "servers", "config", "peers" }) {
    const Object object = ParseObject(it, aItem, 0);
    if (object.mKey.empty()) {
      continue;
    }
    const Result<FleetVm> vm = DecodeVm(object, TimePoint{});
    CHECK(!vm || (vm.value().mAddress.mPort > 0 && !vm.value().mId.empty()));
    (void)DecodeConfig(object);
    (void)ParseRosterEntry({ "peers/x", object.mVersion, object.mValue });
    (void)WriteOrderOf(object);
  }
}

} // namespace

TEST_GROUP(DecodeFuzz){};

// Guards against an entry that ends the process, or that takes others along;
// with the sanitizers also against one that reads or writes out of bounds.
TEST(DecodeFuzz, NoMutatedEntryCostsAnother)
{
  std::mt19937 random(20261205);
  for (int n = 0; n < kRuns; ++n) {
    const std::string item =
      Mutate(kItems[static_cast<size_t>(n) % kItems.size()], random);
    Decode(item);
    (void)SplitJsonArray(item);
  }
}

// Guards against odd text within an entry that moves the ends of the others.
TEST(DecodeFuzz, OddTextInAStringStaysInItsEntry)
{
  std::mt19937 random(7);
  for (int n = 0; n < kRuns / 10; ++n) {
    std::string odd = "\"";
    for (int i = 0; i < 6; ++i) {
      const std::string_view text =
        kOddTexts[std::uniform_int_distribution<size_t>(
          0, kOddTexts.size() - 1)(random)];
      odd +=
        text.find_first_of("\"\\") == std::string_view::npos ? text : "\\\"";
    }
    odd += "\"";
    std::string list = "[{\"a\":1},";
    list.append(odd).append(",{\"b\":[").append(odd).append("]}]");
    const auto items = SplitJsonArray(list).value();
    CHECK_EQUAL(3U, items.size());
    CHECK(items[1] == odd);
  }
}
