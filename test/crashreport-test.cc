#include "fleet/demandaggregator.h"
#include "relay/crashreport.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

const TimePoint kNow{ std::chrono::hours(3) };

} // namespace

TEST_GROUP(CrashReport){};

TEST(CrashReport, RoundTrips)
{
  const CrashReport sent{
    "token",
    { { 1, 2, true, { 3, 4, kNow - milliseconds(90000), true, true } },
      { ~uint64_t{ 0 }, kContentRank, false, { 6, 7, kNow, false, false } } }
  };
  const auto got =
    DecodeCrashReport(EncodeCrashReport(sent, kNow), kNow + seconds(5));
  CHECK(got.has_value());
  STRCMP_EQUAL("token", got->mToken.c_str());
  CHECK_EQUAL(2U, got->mNotices.size());
  const CrashNotice& first = got->mNotices[0];
  CHECK_EQUAL(1U, first.mTrait);
  CHECK_EQUAL(2, first.mRank);
  CHECK(first.mWasAnswered);
  // Nodes share no clock, so the encoding preserves the age.
  CHECK(Crash({ 3, 4, kNow - milliseconds(85000), true, true }) ==
        first.mCrash);
  CHECK(~uint64_t{ 0 } == got->mNotices[1].mTrait);
  CHECK(!got->mNotices[1].mWasAnswered);
  CHECK(!got->mNotices[1].mCrash.mRefuted);
  CHECK(!got->mNotices[1].mCrash.mAtBeginning);
}

// Guards against a node that takes a report of one kind for the other.
TEST(CrashReport, IsNoDemandReport)
{
  const std::string crashes = EncodeCrashReport({ "t", { {} } }, kNow);
  CHECK(!DecodeReport(crashes, kNow).has_value());
  const std::string demands = EncodeReport({ "t", { { "h", {} } } }, kNow);
  CHECK(!DecodeCrashReport(demands, kNow).has_value());
}

TEST(CrashReport, RejectsInvalidBytes)
{
  const std::string whole = EncodeCrashReport({ "t", { {} } }, kNow);
  CHECK(!DecodeCrashReport("", kNow).has_value());
  for (size_t n = 0; n < whole.size(); ++n) {
    CHECK(!DecodeCrashReport(std::string_view(whole).substr(0, n), kNow));
  }
}

TEST(CrashReport, FullReportFitsIntoOneDatagram)
{
  const CrashReport full{ std::string(64, 't'),
                          std::vector<CrashNotice>(
                            kMaxNoticesPerReport,
                            { ~uint64_t{ 0 }, 9, false, {} }) };
  CHECK(EncodeCrashReport(full, kNow).size() <= 4096);
}
