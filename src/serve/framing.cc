#include "serve/framing.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace hibiscushold {

namespace {

constexpr size_t kMaxPathBytes = 4096;

Refusal
Invalid(std::string aMessage)
{
  return { RefusalKind::InvalidRequest, std::move(aMessage) };
}

ResultOrRefusal<void>
CheckLength(const RequestHead& aHead, const Settings& aSettings)
{
  if (aHead.mFraming == BodyFraming::Chunked) {
    return Invalid("header Transfer-Encoding: encoded bodies are not taken; "
                   "send Content-Length alone");
  }
  if (aHead.mLength > aSettings.mMaxBodyBytes) {
    return Refusal{ RefusalKind::BodyTooLarge,
                    "header Content-Length: the limit is " +
                      std::to_string(aSettings.mMaxBodyBytes) + " bytes" };
  }
  return boost::outcome_v2::success();
}

/// A target might resolve a path that is not in normal form to a different
/// path, for which there may be no route.
bool
IsNormalPath(const std::string& aUri)
{
  std::string path = aUri.substr(0, aUri.find('?'));
  std::transform(path.begin(), path.end(), path.begin(), [](unsigned char it) {
    return static_cast<char>(std::tolower(it));
  });
  const bool printable =
    std::all_of(aUri.begin(), aUri.end(), [](unsigned char it) {
      return std::isgraph(it) != 0;
    });
  if (!printable || path.empty() || path.front() != '/') {
    return false;
  }
  for (const char* it :
       { "//", "/./", "/../", "%2e", "%2f", "%5c", "%00", "\\", "#" }) {
    if (path.find(it) != std::string::npos) {
      return false;
    }
  }
  return !path.ends_with("/.") && !path.ends_with("/..");
}

} // namespace

ResultOrRefusal<void>
CheckFraming(const RequestHead& aHead, const Settings& aSettings)
{
  if (aHead.mFields.size() > aSettings.mMaxHeaderFields) {
    return Invalid("headers: the limit is " +
                   std::to_string(aSettings.mMaxHeaderFields) + " fields");
  }
  if (aHead.mUri.size() > kMaxPathBytes || !IsNormalPath(aHead.mUri)) {
    return Invalid("path: it is too long or not in normal form; send it "
                   "without '.', '..', empty or encoded separators");
  }
  return CheckLength(aHead, aSettings);
}

ResultOrRefusal<std::string>
ReadBody(ServerRequest& aRequest, TimePoint aDeadline)
{
  aRequest.Session().SetDeadline(aDeadline);
  BodyReader& reader = aRequest.Body();
  std::string body;
  std::array<char, 16384> buf;
  try {
    for (size_t n = reader.Read(buf); n > 0; n = reader.Read(buf)) {
      body.append(buf.data(), n);
    }
  } catch (const Poco::TimeoutException&) {
    return Invalid("body: it came too slowly");
  } catch (const Poco::Exception&) {
    return Invalid("body: it ended after " + std::to_string(body.size()) +
                   " of " + std::to_string(aRequest.Head().mLength) + " bytes");
  }
  return body;
}

} // namespace hibiscushold
