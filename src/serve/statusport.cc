#include "serve/statusport.h"

namespace hibiscushold {

namespace {

void
SendText(ResponseWriter& aWriter, int aStatus, std::string_view aText)
{
  aWriter.SendComplete(aStatus, { { "Content-Type", "text/plain" } }, aText);
}

} // namespace

RequestHandler
MakeStatusHandler(std::string aReadyPath,
                  std::function<bool()> aIsReady,
                  const Metrics& aMetrics)
{
  return [readyPath = std::move(aReadyPath),
          isReady = std::move(aIsReady),
          &aMetrics](ServerRequest& aRequest, ResponseWriter& aWriter) {
    const std::string& path = aRequest.Head().mUri;
    if (path == readyPath) {
      const bool ready = isReady();
      SendText(aWriter, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
      SendText(aWriter, 200, aMetrics.Render());
    } else {
      SendText(aWriter, 404, "no such page\n");
    }
  };
}

} // namespace hibiscushold
