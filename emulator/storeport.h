#pragma once

#include "emulator/store.h"
#include "standin/server.h"

#include <atomic>

namespace hibiscushold::emulator {

using standin::HTTPServerRequest;
using standin::HTTPServerResponse;

/// How the store answers one node.
enum class StoreAccess
{
  Open,
  Busy,   ///< 503
  Silent, ///< no answer within any time that a node waits
  Reset,  ///< the connection is closed
};

/// What happens to the writes of a node.
enum class WriteFate
{
  Answered,
  AnswerLost, ///< done, and the connection is closed
  Late,       ///< done seconds later, and the connection is closed
};

/// Serves the store's calls to one node, on a port of its own, so that the
/// store can turn away single nodes. Thread-safe.
class StorePort
{
public:
  StorePort(Store& aStore, const Timeline& aTimeline);

  std::string Address() const { return ToString(mServer.Address()); }
  void SetAccess(StoreAccess aAccess) { mAccess = aAccess; }
  void SetWriteFate(WriteFate aFate) { mWriteFate = aFate; }

  /// @param aLag age of the answers to calls that allow stale ones, in ms
  void SetStaleLag(int64_t aLag) { mStaleLag = aLag; }

private:
  void Handle(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);
  bool TurnsAway(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);

  void ServeWrite(HTTPServerRequest& aRequest,
                  HTTPServerResponse& aResponse,
                  const std::string& aBody);

  Store& mStore;
  const Timeline& mTimeline;
  std::atomic<StoreAccess> mAccess{ StoreAccess::Open };
  std::atomic<WriteFate> mWriteFate{ WriteFate::Answered };
  std::atomic<int64_t> mStaleLag{ 0 };
  standin::Server mServer;
};

} // namespace hibiscushold::emulator
