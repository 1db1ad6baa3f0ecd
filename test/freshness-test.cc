#include "config/freshness.h"
#include "rules/diff.h"
#include "rules/format.h"
#include "rules/parse.h"

#include <array>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

const TimePoint kNow{ std::chrono::hours(1) };

constexpr const char* kRules =
  "[accounts]\nyard = rate:90/min share:2 key_sha256:"
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa # office\n"
  "[groups]\ndrafting = model:m copies:6 vms:4 schedule:am # desk\n"
  "[services]\nledger = targets:pool # accounts\n"
  "[routes]\ndrafts = path:/v1/* model:m to:drafting policy:clerks # desk\n"
  "confirm = path:/services/ledger/confirm to:ledger policy:once # accounts\n"
  "[policies]\nclerks = priority:urgent idempotent:yes timeout:30s # desk\n"
  "once = idempotent:no timeout:10s # accounts\n"
  "[schedules]\nam = days:Mon-Fri hours:05-13 weigh:stranded # board\n";

Rules
Parsed(std::string_view aText)
{
  ParsedRules parsed = ParseRules(aText);
  STRCMP_EQUAL("", DescribeFaults("rules", parsed.mFaults).c_str());
  return parsed.mRules;
}

std::string
Replaced(std::string aText, const std::string& aOld, const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

FreshnessState
StateOf(int aAgeMillis, size_t aReachableMembers)
{
  FreshnessState state;
  state.mHeadSnapshot.mAsOf = kNow - milliseconds(aAgeMillis);
  state.mHeadSnapshot.mHead.mAccepted.mVersion = 3;
  state.mActiveVersion = 3;
  state.mReachableMembers = aReachableMembers;
  return state;
}

} // namespace

TEST_GROUP(Freshness){};

TEST(Freshness, AdmitsNothingWithAnExpiredHeadAndTooFewMembers)
{
  struct Row
  {
    int mAge;
    size_t mReachableMembers;
    ConfigAdmission mAdmission;
  };
  const std::array rows = {
    Row{ 4999, 0, ConfigAdmission::All },
    Row{ 5000, 1, ConfigAdmission::None },
    Row{ 5000, 2, ConfigAdmission::All },
    Row{ 900000, 2, ConfigAdmission::All },
  };
  for (const Row& it : rows) {
    CHECK(it.mAdmission ==
          DecideConfigAdmission(StateOf(it.mAge, it.mReachableMembers), kNow));
  }
}

TEST(Freshness, AdmitsOnlyWhatBothVersionsTreatAlikeWhileAChangeIsUndecided)
{
  FreshnessState pending = StateOf(0, 3);
  pending.mHeadSnapshot.mHead.mPending = PendingChange{ { 4, "b" }, "n", "x" };
  CHECK(ConfigAdmission::SameUnderBoth == DecideConfigAdmission(pending, kNow));
  FreshnessState behind = StateOf(0, 3);
  behind.mHeadSnapshot.mHead.mAccepted.mVersion = 4;
  CHECK(ConfigAdmission::SameUnderBoth == DecideConfigAdmission(behind, kNow));
  behind.mHeadSnapshot.mAsOf = kNow - seconds(6);
  behind.mReachableMembers = 1;
  CHECK(ConfigAdmission::None == DecideConfigAdmission(behind, kNow));
}

TEST(Freshness, MergeKeepsTheHigherVersionAndTheLaterTime)
{
  HeadSnapshot known{ 7, {}, kNow - seconds(4) };
  known.mHead.mAccepted.mVersion = 2;
  MergeSnapshot(known, { 6, {}, kNow - seconds(1) });
  LONGS_EQUAL(7, known.mObjectVersion);
  LONGS_EQUAL(2, known.mHead.mAccepted.mVersion);
  CHECK(known.mAsOf == kNow - seconds(1));
  MergeSnapshot(known, { 8, {}, TimePoint{} });
  LONGS_EQUAL(8, known.mObjectVersion);
  CHECK(known.mAsOf == kNow - seconds(1));
}

TEST(Freshness, CountsTheRoundTripAsAge)
{
  // The round trip took nine seconds.
  CHECK(kNow - seconds(11) == AnswerAsOf(kNow - seconds(9), kNow, seconds(2)));
}

TEST(Freshness, ComparesOnlyTheRulesThatApplyToTheRequest)
{
  const Rules old = Parsed(kRules);
  const RequestFeatures draft{ "yard", "/v1/completions", "m" };
  const RequestFeatures confirm{ "yard", "/services/ledger/confirm", "" };
  const Rules slower = Parsed(Replaced(kRules, "timeout:10s", "timeout:9s"));
  CHECK(HaveSameResult(old, slower, draft));
  CHECK_FALSE(HaveSameResult(old, slower, confirm));
  const Rules fewer = Parsed(Replaced(kRules, "rate:90/min", "rate:80/min"));
  CHECK_FALSE(HaveSameResult(old, fewer, draft));
  CHECK(HaveSameResult(
    old, Parsed(Replaced(kRules, "# office", "# other")), draft));
}

TEST_GROUP(RulesText){};

TEST(RulesText, FormattedRulesParseToTheSameRules)
{
  const std::string formatted = FormatRules(Parsed(kRules));
  STRCMP_EQUAL(formatted.c_str(), FormatRules(Parsed(formatted)).c_str());
  STRCMP_CONTAINS("rate:90/min", formatted.c_str());
}

TEST(RulesText, DiffListsTheChangedRules)
{
  const std::string text =
    DiffRules(Parsed(kRules), Parsed(Replaced(kRules, "copies:6", "copies:7")));
  STRCMP_CONTAINS("- [groups] drafting = model:m pool:workers copies:6",
                  text.c_str());
  STRCMP_CONTAINS("+ [groups] drafting = model:m pool:workers copies:7",
                  text.c_str());
  STRCMP_EQUAL("", DiffRules(Parsed(kRules), Parsed(kRules)).c_str());
}

TEST(RulesText, ParsesRandomlyCorruptedFiles)
{
  std::mt19937 random(4);
  const std::string sample = kRules;
  for (int run = 0; run < 5000; ++run) {
    std::string text = sample;
    for (unsigned n = random() % 8 + 1; n > 0; --n) {
      const size_t at = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[at] = static_cast<char>(random() % 256);
          break;
        case 1:
          text.erase(at, random() % 9);
          break;
        default:
          text.insert(at, sample, random() % sample.size(), random() % 20);
      }
    }
    const ParsedRules parsed = ParseRules(text);
    if (parsed.mFaults.empty()) {
      const std::string formatted = FormatRules(parsed.mRules);
      STRCMP_EQUAL(formatted.c_str(), FormatRules(Parsed(formatted)).c_str());
    }
  }
}
