#pragma once

#include "fleet/quarantine.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// A report of crashes that one node sends to another in a datagram.
struct CrashReport
{
  std::string mToken; ///< token of the parent; authenticates the report
  std::vector<CrashNotice> mNotices;
};

/// Number of notices that fit into one datagram.
inline constexpr size_t kMaxNoticesPerReport = 96;

/// @param aNow time from which the ages of the crashes are computed; nodes have
///        no common clock
/// @return the content of the datagram, which DecodeReport rejects
std::string
EncodeCrashReport(const CrashReport& aReport, TimePoint aNow);

/// @param aNow time from which the reported ages are subtracted
/// @return the report, or nothing when the bytes are not a valid report
std::optional<CrashReport>
DecodeCrashReport(std::string_view aBytes, TimePoint aNow);

} // namespace hibiscushold
