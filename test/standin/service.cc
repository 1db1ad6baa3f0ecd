#include "standin/service.h"

#include "core/ids.h"
#include "core/json.h"
#include "serve/attempt.h"

#include <thread>

namespace hibiscushold::standin {

ServiceStandin::ServiceStandin(const VmOptions& aOptions)
  : mTarget(aOptions, [this](auto& aRequest, auto& aResponse) {
    Handle(aRequest, aResponse);
  })
{
}

void
ServiceStandin::Handle(HTTPServerRequest& aRequest,
                       HTTPServerResponse& aResponse)
{
  const std::string body = ReadBody(aRequest);
  aResponse.set(kAttemptIdField, aRequest.get(kAttemptIdField, ""));
  if (Faults().ConsumeOne("cut")) {
    CutConnection(aRequest);
    return;
  }
  if (Faults().ConsumeOne("refuse")) {
    aResponse.set(kRanField, "no");
    SendReply(aResponse, 503, "{\"error\":\"not run\"}");
    return;
  }
  mTarget.CountRun(body);
  std::this_thread::sleep_for(milliseconds(Faults().Number("slow")));
  if (Faults().ConsumeOne("lost_answer")) {
    CutConnection(aRequest);
    return;
  }
  Json::Value json;
  json["confirmed"] = Sha256Hex(body);
  SendReply(aResponse, 200, ToJson(json));
}

} // namespace hibiscushold::standin
