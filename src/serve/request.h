#pragma once

#include "config/agent.h"
#include "core/clock.h"
#include "route/match.h"
#include "serve/refusal.h"

#include <string>
#include <string_view>

namespace hibiscushold {

/// A validated request of a caller.
struct CallerRequest
{
  std::string mId;
  std::string mAccount;
  std::string mMethod;
  std::string mPath; ///< including the query
  std::string mContentType;
  std::string mBody;
  std::string mModel;
  std::string mPrefix;         ///< start of the prompt; empty for none
  std::string mIdempotencyKey; ///< empty if not given
  bool mStream = false;        ///< the caller requests an event stream
  ActiveConfigPtr mConfig;     ///< owns the rules that mMatch refers to
  RouteMatch mMatch;
  TimePoint mDeadline;
};

/// A complete response that was not streamed.
struct BufferedResponse
{
  int mStatus = 200;
  std::string mContentType;
  std::string mBody;
};

/// Receives an event stream on behalf of a caller.
class EventSink
{
public:
  virtual ~EventSink() = default;

  /// Forwards one complete event.
  /// @param aEvent text of the event, including its blank line
  /// @return false if the caller has disconnected
  virtual bool OnEvent(std::string_view aEvent) = 0;

  /// @return whether the caller has closed its connection
  virtual bool IsCallerDisconnected() { return false; }
};

} // namespace hibiscushold
