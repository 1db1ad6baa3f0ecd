#pragma once

#include "core/clock.h"
#include "core/errors.h"
#include "core/httpfield.h"
#include "core/sessionpool.h"
#include "core/settings.h"

#include <atomic>
#include <optional>
#include <string>
#include <vector>

namespace hibiscushold {

/// Most bytes of a reply's body, such as a list of all VMs from another node.
inline constexpr size_t kMaxReplyBytes = 64'000'000;

/// A request with its whole body.
struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mPath = "/";
  std::vector<HttpField> mFields;
  std::string mBody;
  size_t mMaxReplyBytes = kMaxReplyBytes; ///< of the reply's body
};

/// A reply with its whole body.
struct HttpReply
{
  int mStatus = 0;
  std::vector<HttpField> mFields;
  std::string mBody;
};

/// HTTP client for small control calls to the platform, to peers and to
/// engines. Connections are kept alive for a short time and reused; a failed
/// one is closed. Thread-safe.
class HttpClient
{
public:
  /// @param aTls context for TLS, null for plain HTTP
  explicit HttpClient(const Clock& aClock,
                      std::shared_ptr<const TlsContext> aTls = nullptr);

  /// Sends a request and reads the whole reply.
  /// @return the reply, or ConnectFailed or HeadInvalid when nothing was sent,
  ///         or TimedOut,
  ///         ReplyTruncated or ReplyInvalid when the request may have taken
  ///         effect
  Result<HttpReply> Call(const Endpoint& aEndpoint,
                         const HttpRequest& aRequest,
                         TimePoint aDeadline);

  /// @return request and reply bytes of all complete calls so far; header sizes
  ///         are estimated
  uint64_t BytesTransferred() const;

private:
  const Clock& mClock;
  SessionPool mPool;
  std::atomic<uint64_t> mBytesTransferred{ 0 };
};

} // namespace hibiscushold
