#include "config/history.h"

#include "fakeplatform.h"
#include "rules/diff.h"
#include "rules/parse.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

ConfigVersion
Version(uint64_t aNumber, const std::string& aNonce)
{
  return { aNumber,
           std::string(kConfigBodyPrefix) + std::to_string(aNumber) + "-" +
             aNonce };
}

Rules
Parse(const std::string& aGroups)
{
  return ParseRules("[groups]\n" + aGroups).mRules;
}

} // namespace

TEST_GROUP(History)
{
  FakePlatform mPlatform;
  ConfigHead mHead;

  void Store(const ConfigVersion& aTarget, const ConfigVersion& aBase)
  {
    const HistoryEntry entry{ aTarget, aBase, "node-1", 5, { "desk" } };
    CHECK(StoreHistoryEntry(mPlatform, entry).has_value());
    CHECK(entry == ParseHistoryEntry(SerializeHistoryEntry(entry)).value());
  }

  std::vector<HistoryEntry> Read(size_t aMaxEntries = 10)
  {
    return ReadHistory(mPlatform, mHead, aMaxEntries).value();
  }
};

TEST(History, ListsAcceptedChangesWithoutRefusedOnes)
{
  CHECK(Read().empty());
  Store(Version(1, "a"), {});
  Store(Version(2, "refused"), Version(1, "a"));
  Store(Version(2, "b"), Version(1, "a"));
  mHead.mAccepted = Version(2, "b");
  const std::vector<HistoryEntry> entries = Read();
  CHECK_EQUAL(2u, entries.size());
  CHECK(entries[0].mTarget == Version(2, "b"));
  CHECK(entries[1].mTarget == Version(1, "a"));
  CHECK_EQUAL(1u, Read(1).size());
}

TEST(History, EndsAtAMissingRecordAndReportsAStoreFailure)
{
  Store(Version(3, "c"), Version(2, "b"));
  mHead.mAccepted = Version(3, "c");
  CHECK_EQUAL(1u, Read().size());
  mPlatform.mNextReadFault = StoreFault::Unavailable;
  CHECK(Error::StoreUnavailable ==
        ReadHistory(mPlatform, mHead, 10).error().mError);
}

TEST(History, ListsEachRequesterOfChangedLinesOnce)
{
  const Rules before = Parse("a = model:m  # desk\nb = model:m  # yard\n");
  const Rules after =
    Parse("a = model:n  # desk\nb = model:m  # office\nc = model:m  # desk\n");
  const std::vector<std::string> changed = FindChangeRequesters(before, after);
  CHECK_EQUAL(1u, changed.size());
  STRCMP_EQUAL("desk", changed[0].c_str());
  CHECK_EQUAL(
    1u, FindChangeRequesters(before, Parse("a = model:m  # desk\n")).size());
}
