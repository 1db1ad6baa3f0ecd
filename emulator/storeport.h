#pragma once

#include "emulator/httpserver.h"
#include "emulator/store.h"

#include <atomic>

namespace hibiscushold::emulator {

/// How the store answers one node.
enum class StoreAccess
{
  Open,
  Busy,   ///< 503
  Silent, ///< no answer within any time that a node waits
  Reset,  ///< the connection is closed
};

/// Serves the store's calls to one node, on a port of its own, so that the
/// store can turn away single nodes. Thread-safe.
class StorePort
{
public:
  StorePort(Store& aStore, const Timeline& aTimeline);

  std::string Address() const { return mServer.Address(); }
  void SetAccess(StoreAccess aAccess) { mAccess = aAccess; }

private:
  void Handle(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);
  bool TurnsAway(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);

  Store& mStore;
  const Timeline& mTimeline;
  std::atomic<StoreAccess> mAccess{ StoreAccess::Open };
  HttpServer mServer;
};

} // namespace hibiscushold::emulator
