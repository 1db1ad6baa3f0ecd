#pragma once

#include "core/errors.h"
#include "core/settings.h"
#include "serve/credentials.h"

#include <memory>

namespace hibiscushold {

/// One node of the cluster: owns its servers, its background threads and all
/// components.
class Node
{
public:
  Node(Settings aSettings, std::shared_ptr<Credentials> aCredentials);
  ~Node();

  /// Opens both ports and starts the background threads.
  /// @return AddressInUse if a port cannot be opened; nothing is started then
  Result<void> Start();

  /// Stops gracefully: deregisters the node, reports not ready for the
  /// configured shutdown delay so that the load balancer stops sending
  /// requests, waits for running requests and queued claim writes, and then
  /// stops the threads.
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace hibiscushold
