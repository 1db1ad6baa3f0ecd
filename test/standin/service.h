#pragma once

#include "standin/target.h"

#include <string>

namespace hibiscushold::standin {

/// Stand-in for a plain service with calls that may run at most once. It counts
/// how often each request body ran.
///
/// Faults in addition to those of Target: lost_answer (number of calls that run
/// without a response), refuse (number of calls refused as not run), cut
/// (number of calls that neither run nor get a response), slow (ms before the
/// response).
class ServiceStandin
{
public:
  explicit ServiceStandin(const VmOptions& aOptions);

  Endpoint Address() const { return mTarget.Address(); }
  FaultSwitches& Faults() { return mTarget.Faults(); }
  uint32_t RunsOf(const std::string& aBody) const
  {
    return mTarget.RunsOf(aBody);
  }

private:
  void Handle(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);

  Target mTarget;
};

} // namespace hibiscushold::standin
