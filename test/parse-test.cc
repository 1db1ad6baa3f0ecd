#include "rules/parse.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

const std::string kKeySha256(64, 'a');

std::string
SampleRules()
{
  return "[accounts]\n"
         "yard = key_sha256:" +
         kKeySha256 +
         " rate:20/s concurrency:40 share:2  # yard office\n"
         "[groups]\n"
         "drafting = model:m copies:6 vms:4 spares:1 schedule:early  # desk\n"
         "[services]\n"
         "ledger = targets:ledger-pool  # accounts office\n"
         "[routes]\n"
         "drafts = path:/v1/chat/completions model:m to:drafting policy:p  # "
         "a\n"
         "confirm = path:/services/ledger/* to:ledger policy:once  # b\n"
         "[policies]\n"
         "p = priority:urgent idempotent:yes timeout:30s retries:2  # c\n"
         "once = priority:urgent idempotent:no timeout:500ms  # d\n"
         "[schedules]\n"
         "early = days:Mon-Fri hours:05-13 zone:Europe/Warsaw weigh:downtime"
         "  # board\n";
}

/// A change to the sample rules and the fault that it must cause.
struct FaultCase
{
  const char* mOldText; ///< text of the sample that is replaced
  const char* mNewText;
  int mLine; ///< line of the expected fault
  Error mError;
};

} // namespace

TEST_GROUP(Parse){};

TEST(Parse, ReadsEverySection)
{
  const ParsedRules parsed = ParseRules(SampleRules());
  CHECK_EQUAL(0u, parsed.mFaults.size());
  const Rules& rules = parsed.mRules;
  CHECK_EQUAL(40u, rules.mAccounts[0].mMaxConcurrency);
  DOUBLES_EQUAL(20.0, rules.mAccounts[0].mRatePerSecond, 0.001);
  CHECK_EQUAL(4u, rules.mGroups[0].mVmsPerCopy);
  CHECK_EQUAL(500, rules.mPolicies[1].mTimeout.count());
  CHECK_EQUAL(0x1fu, rules.mSchedules[0].mDayMask);
  STRCMP_EQUAL("desk", rules.mGroups[0].mOrigin.mRequester.c_str());
}

TEST(Parse, ReportsTheLineOfEachFault)
{
  const FaultCase cases[] = {
    { "  # yard office", "", 2, Error::RequesterMissing },
    { "  # desk", "", 4, Error::RequesterMissing },
    { "  # accounts office", " #", 6, Error::RequesterMissing },
    { "copies:6", "copies:many", 4, Error::RuleInvalid },
    { "copies:6", "copis:6", 4, Error::RuleInvalid },
    { "copies:6", "copies", 4, Error::RuleInvalid },
    { "copies:6", "copies:6 copies:7", 4, Error::RuleInvalid },
    { "to:drafting", "to:draughting", 8, Error::ReferenceUnknown },
    { "policy:once", "policy:twice", 9, Error::ReferenceUnknown },
    { "schedule:early", "schedule:late", 4, Error::ReferenceUnknown },
    { "key_sha256:a", "key_sha256:X", 2, Error::RuleInvalid },
    { "rate:20/s", "rate:20", 2, Error::RuleInvalid },
    { "timeout:30s", "timeout:30", 11, Error::RuleInvalid },
    { "path:/v1", "path:v1", 8, Error::RuleInvalid },
    { "hours:05-13", "hours:13-05", 14, Error::RuleInvalid },
    { "days:Mon-Fri", "days:Mo-Fr", 14, Error::RuleInvalid },
    { "once = ", "p = ", 12, Error::RuleInvalid },
    { "[services]", "[servics]", 6, Error::RuleInvalid },
    { "[accounts]", "[accounts", 1, Error::SyntaxInvalid },
  };
  for (const FaultCase& it : cases) {
    std::string text = SampleRules();
    text.replace(
      text.find(it.mOldText), std::string(it.mOldText).size(), it.mNewText);
    const ParsedRules parsed = ParseRules(text);
    const bool found = std::any_of(
      parsed.mFaults.begin(), parsed.mFaults.end(), [&](auto& aFault) {
        return aFault.mLine == it.mLine && aFault.mFailure.mError == it.mError;
      });
    CHECK_TEXT(found, it.mNewText);
  }
}

TEST(Parse, ReportsAllFaultsAtOnce)
{
  const ParsedRules parsed =
    ParseRules("[groups]\na = model:m vms:0\nb = copies:2  # x\n");
  CHECK_EQUAL(3u, parsed.mFaults.size());
  CHECK_EQUAL(2, parsed.mFaults[0].mLine);
  CHECK_EQUAL(3, parsed.mFaults[2].mLine);
}

TEST(Parse, RejectsAFileLargerThanAStoreValue)
{
  const ParsedRules parsed = ParseRules(std::string(kMaxRulesBytes + 1, '#'));
  CHECK(Error::FileTooLarge == parsed.mFaults[0].mFailure.mError);
}
