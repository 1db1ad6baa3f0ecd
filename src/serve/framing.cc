#include "serve/framing.h"

#include "core/sessionpool.h"

#include <Poco/Net/HTTPServerRequestImpl.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <istream>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPServerRequest;

constexpr size_t kMaxPathBytes = 4096;

Refusal
Invalid(std::string aMessage)
{
  return { RefusalKind::InvalidRequest, std::move(aMessage) };
}

size_t
CountFields(const HTTPServerRequest& aRequest, const std::string& aName)
{
  size_t n = 0;
  for (auto it = aRequest.find(aName);
       it != aRequest.end() && Poco::icompare(it->first, aName) == 0;
       ++it) {
    ++n;
  }
  return n;
}

/// @return whether the text is a plain decimal number of up to 18 digits
bool
IsDecimalLength(const std::string& aText)
{
  const bool digits =
    std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
      return std::isdigit(aChar) != 0;
    });
  return digits && !aText.empty() && aText.size() <= 18;
}

ResultOrRefusal<void>
CheckLength(const HTTPServerRequest& aRequest, const Settings& aSettings)
{
  if (aRequest.has(HTTPServerRequest::TRANSFER_ENCODING)) {
    return Invalid("header Transfer-Encoding: encoded bodies are not taken; "
                   "send Content-Length alone");
  }
  const size_t lengths =
    CountFields(aRequest, HTTPServerRequest::CONTENT_LENGTH);
  if (lengths == 0) {
    return boost::outcome_v2::success();
  }
  const std::string& length = aRequest.get(HTTPServerRequest::CONTENT_LENGTH);
  if (lengths > 1 || !IsDecimalLength(length)) {
    return Invalid("header Content-Length: send one whole number");
  }
  if (std::stoull(length) > aSettings.mMaxBodyBytes) {
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

/// Limits the next read to aLeft, so that it fails if the caller stops sending.
void
LimitRead(HTTPServerRequest& aRequest, Duration aLeft)
{
  auto* request = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&aRequest);
  if (request != nullptr) {
    request->socket().setReceiveTimeout(ToTimespan(aLeft));
  }
}

} // namespace

ResultOrRefusal<void>
CheckFraming(const HTTPServerRequest& aRequest, const Settings& aSettings)
{
  if (aRequest.size() > aSettings.mMaxHeaderFields) {
    return Invalid("headers: the limit is " +
                   std::to_string(aSettings.mMaxHeaderFields) + " fields");
  }
  if (aRequest.getURI().size() > kMaxPathBytes ||
      !IsNormalPath(aRequest.getURI())) {
    return Invalid("path: it is too long or not in normal form; send it "
                   "without '.', '..', empty or encoded separators");
  }
  return CheckLength(aRequest, aSettings);
}

ResultOrRefusal<std::string>
ReadBody(HTTPServerRequest& aRequest, const Clock& aClock, TimePoint aDeadline)
{
  std::string body;
  if (!aRequest.hasContentLength()) {
    return body;
  }
  const auto length = static_cast<size_t>(aRequest.getContentLength64());
  std::array<char, 16384> buf;
  std::istream& in = aRequest.stream();
  while (body.size() < length) {
    const Duration left = TimeLeft(aDeadline, aClock.Now());
    if (left == Duration::zero()) {
      return Invalid("body: it came too slowly");
    }
    LimitRead(aRequest, left);
    // Waits for one packet; read() would wait until the buffer is full.
    if (in.peek() == std::istream::traits_type::eof()) {
      return Invalid("body: it ended after " + std::to_string(body.size()) +
                     " of " + std::to_string(length) + " bytes");
    }
    const std::streamsize n = in.readsome(buf.data(), buf.size());
    body.append(buf.data(), static_cast<size_t>(n));
  }
  return body;
}

} // namespace hibiscushold
