#include "relay/crashreport.h"

#include "core/binarytext.h"
#include "core/textstream.h"

#include <Poco/BinaryReader.h>
#include <Poco/BinaryWriter.h>
#include <Poco/MemoryStream.h>

#include <algorithm>

namespace hibiscushold {

namespace {

/// Stands where a report of demands has their number, which is smaller.
constexpr uint16_t kCrashReportMark = 0xfffe;

} // namespace

std::string
EncodeCrashReport(const CrashReport& aReport, TimePoint aNow)
{
  TextStream stream;
  Poco::BinaryWriter out(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
  out << aReport.mToken << kCrashReportMark
      << static_cast<uint16_t>(aReport.mNotices.size());
  for (const CrashNotice& it : aReport.mNotices) {
    const int64_t age = std::max<int64_t>(0, ToMillis(aNow - it.mCrash.mAt));
    out << it.mTrait << it.mRank << it.mWasAnswered << it.mCrash.mTarget
        << it.mCrash.mContent << static_cast<uint32_t>(age)
        << it.mCrash.mRefuted << it.mCrash.mAtBeginning;
  }
  out.flush();
  return stream.str();
}

std::optional<CrashReport>
DecodeCrashReport(std::string_view aBytes, TimePoint aNow)
{
  Poco::MemoryInputStream stream(aBytes.data(),
                                 static_cast<std::streamsize>(aBytes.size()));
  Poco::BinaryReader in(stream, Poco::BinaryReader::NETWORK_BYTE_ORDER);
  CrashReport report;
  uint16_t mark = 0;
  uint16_t n = 0;
  ReadText(in, report.mToken);
  in >> mark >> n;
  if (in.fail() || mark != kCrashReportMark || n > kMaxNoticesPerReport) {
    return std::nullopt;
  }
  for (uint16_t i = 0; i < n && in.good(); ++i) {
    CrashNotice notice;
    uint32_t age = 0;
    in >> notice.mTrait >> notice.mRank >> notice.mWasAnswered >>
      notice.mCrash.mTarget >> notice.mCrash.mContent >> age >>
      notice.mCrash.mRefuted >> notice.mCrash.mAtBeginning;
    notice.mCrash.mAt = aNow - milliseconds(age);
    report.mNotices.push_back(notice);
  }
  if (in.fail() || report.mNotices.size() != n) {
    return std::nullopt;
  }
  return report;
}

} // namespace hibiscushold
