#include "bench/mixed.h"
#include "bench/report.h"
#include "core/ids.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;
using namespace hibiscushold::bench;

namespace {

MixedCall
ChatCall(const std::string& aContent)
{
  MixedCall call;
  call.mText = "p";
  call.mTokens = 3;
  call.mResult.mStatus = 200;
  call.mResult.mComplete = true;
  call.mResult.mContent = aContent;
  call.mResult.mRequestId = "r";
  return call;
}

MixedCall
RefusedAtMostOnceCall()
{
  MixedCall call;
  call.mAtMostOnce = true;
  call.mText = "lot";
  call.mResult.mStatus = 503;
  call.mResult.mComplete = true;
  call.mResult.mRanHeader = "no";
  return call;
}

} // namespace

TEST_GROUP(Bench){};

TEST(Bench, AcceptsCompleteAnswersToTheSameRequest)
{
  const MixedCounts counts =
    CountMixed({ ChatCall(ExpectedContent("p", 3)) }, {}, {});
  LONGS_EQUAL(1, counts.mAnswered);
  LONGS_EQUAL(0, counts.mCrossed + counts.mTruncated);
}

TEST(Bench, CountsCrossedAndTruncatedAnswers)
{
  const MixedCounts counts = CountMixed(
    { ChatCall(ExpectedContent("q", 3)), ChatCall(ExpectedContent("p", 2)) },
    {},
    {});
  LONGS_EQUAL(1, counts.mCrossed);
  LONGS_EQUAL(1, counts.mTruncated);
}

TEST(Bench, CountsRepeatedRunsAndFalseNotRunReports)
{
  const MixedCounts counts =
    CountMixed({ RefusedAtMostOnceCall() }, {}, { { "lot", 2 } });
  LONGS_EQUAL(1, counts.mDoubled);
  LONGS_EQUAL(1, counts.mFalseNotRun);
}

TEST(Bench, AcceptsANotRunReportWhenNothingRan)
{
  const MixedCounts counts = CountMixed({ RefusedAtMostOnceCall() }, {}, {});
  LONGS_EQUAL(1, counts.mRefusedNotRun);
  LONGS_EQUAL(0, counts.mFalseNotRun);
}

TEST(Bench, RendersAnEscapedSelfContainedReport)
{
  Result<RunLog> run =
    ParseRunLog("<a>",
                "{\"kind\":\"load\",\"class\":\"bulk\",\"load\":1,"
                "\"p50_ms\":2.5,\"p99_ms\":9,\"good_per_s\":3}\n");
  CHECK(run.has_value());
  const std::string page = RenderReport({ run.value() });
  CHECK(page.find("&lt;a&gt;") != std::string::npos);
  CHECK(page.find("<polyline") != std::string::npos);
  CHECK(page.find("src=") == std::string::npos);
}

TEST(Bench, ReportsTheNumberOfAnInvalidLine)
{
  Result<RunLog> run = ParseRunLog("f", "{}\nnonsense\n");
  CHECK(!run.has_value());
  CHECK(run.error().mDetail.find("f:2") != std::string::npos);
}
