#include "standin/engine.h"

#include "core/ids.h"
#include "core/json.h"
#include "serve/attempt.h"

#include <cstdlib>
#include <thread>

namespace hibiscushold::standin {

namespace {

constexpr uint32_t kDefaultTokens = 16;
/// Time to join a group whose model is loaded already.
constexpr auto kRejoinTime = milliseconds(20);

std::string
PromptOf(const Json::Value& aBody)
{
  if (aBody.isMember("prompt")) {
    return TextAt(aBody, "prompt");
  }
  std::string prompt;
  for (const Json::Value& it : ArrayAt(aBody, "messages")) {
    prompt += TextAt(it, "content") + "\n";
  }
  return prompt;
}

std::string
EventOf(const std::string& aToken)
{
  Json::Value json;
  json["choices"][0]["delta"]["content"] = aToken;
  return "data: " + ToJson(json) + "\n\n";
}

} // namespace

/// Occupies one of the engine's slots; the constructor waits for a free one.
struct EngineStandin::Slot
{
  explicit Slot(EngineStandin& aEngine)
    : mEngine(aEngine)
  {
    std::unique_lock guard(mEngine.mLock);
    ++mEngine.mQueued;
    mEngine.mSlotFreed.wait(
      guard, [&] { return mEngine.mRunning < mEngine.mOptions.mSlots; });
    --mEngine.mQueued;
    ++mEngine.mRunning;
  }

  ~Slot()
  {
    {
      const std::lock_guard guard(mEngine.mLock);
      --mEngine.mRunning;
    }
    mEngine.mSlotFreed.notify_one();
  }

  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;

  EngineStandin& mEngine;
};

std::string
TokenOf(const std::string& aPrompt, uint32_t aIndex)
{
  return Sha256Hex(aPrompt).substr(0, 8) + "-" + std::to_string(aIndex) + " ";
}

EngineStandin::EngineStandin(const VmOptions& aOptions)
  : mOptions(aOptions)
  , mTarget(aOptions, [this](auto& aRequest, auto& aResponse) {
    Handle(aRequest, aResponse);
  })
{
}

void
EngineStandin::Handle(HTTPServerRequest& aRequest,
                      HTTPServerResponse& aResponse)
{
  const std::string path = PathOf(aRequest);
  if (path == "/status") {
    HandleStatus(aResponse);
  } else if (path == "/order") {
    HandleOrder(aRequest, aResponse);
  } else {
    HandleCompletion(aRequest, aResponse);
  }
}

void
EngineStandin::HandleStatus(HTTPServerResponse& aResponse)
{
  Json::Value json;
  {
    const std::lock_guard guard(mLock);
    json["incarnation"] = mTarget.Incarnation();
    json["group"] = TextAt(mOrder, "group");
    json["generation"] = Json::UInt64(NumberAt(mOrder, "generation"));
    json["rank"] = Json::UInt64(NumberAt(mOrder, "rank"));
    json["model"] = TextAt(mOrder, "model");
    json["ready"] = IsReady();
    json["running"] = mRunning;
    json["queued"] = mQueued;
  }
  SendReply(aResponse, 200, ToJson(json));
}

bool
EngineStandin::IsReady() const
{
  return !TextAt(mOrder, "group").empty() && mClock.Now() >= mReadyAt;
}

void
EngineStandin::HandleOrder(HTTPServerRequest& aRequest,
                           HTTPServerResponse& aResponse)
{
  Result<Json::Value> order = ParseJsonObject(ReadBody(aRequest));
  if (!order) {
    SendReply(aResponse, 400, "{\"error\":\"not an object\"}");
    return;
  }
  const uint64_t fencing = NumberAt(order.value(), "fencing");
  const std::lock_guard guard(mLock);
  if (fencing < mLastFencing && !Faults().Has("ignore_fencing")) {
    SendReply(aResponse, 409, "{\"error\":\"old fencing number\"}");
    return;
  }
  mLastFencing = fencing;
  const std::string model = TextAt(order.value(), "model");
  const std::string loadedModel = TextAt(mOrder, "model");
  mReadyAt =
    mClock.Now() + (model == loadedModel ? kRejoinTime : mOptions.mLoadTime);
  mOrder = order.value();
  if (model.empty()) {
    mOrder["model"] = loadedModel; // the model stays loaded
  }
  SendReply(aResponse, 200, "{}");
}

bool
EngineStandin::RefuseIfUnavailable(HTTPServerRequest& aRequest,
                                   HTTPServerResponse& aResponse)
{
  const std::string generation = aRequest.get(kGenerationField, "");
  bool refused = Faults().ConsumeOne("refuse");
  {
    const std::lock_guard guard(mLock);
    refused = refused || !IsReady() ||
              (!generation.empty() &&
               generation != std::to_string(NumberAt(mOrder, "generation")));
  }
  if (refused) {
    aResponse.set(kRanField, "no");
    SendReply(aResponse, 503, "{\"error\":\"not run\"}");
  }
  return refused;
}

void
EngineStandin::HandleCompletion(HTTPServerRequest& aRequest,
                                HTTPServerResponse& aResponse)
{
  const std::string text = ReadBody(aRequest);
  std::string attempt = aRequest.get(kAttemptIdField, "");
  if (Faults().ConsumeOne("crossed")) {
    attempt = NewId();
  }
  aResponse.set(kAttemptIdField, attempt);
  if (RefuseIfUnavailable(aRequest, aResponse)) {
    return;
  }
  const std::string crashMark = Faults().Value("crash_mark");
  if (!crashMark.empty() && text.find(crashMark) != std::string::npos) {
    std::_Exit(3);
  }
  Result<Json::Value> body = ParseJsonObject(text);
  if (!body) {
    SendReply(aResponse, 400, "{\"error\":\"not an object\"}");
    return;
  }
  const Slot slot(*this);
  mTarget.CountRun(aRequest.get("X-Request-Id", ""));
  const std::string prompt = PromptOf(body.value());
  const auto tokens =
    static_cast<uint32_t>(NumberAt(body.value(), "max_tokens", kDefaultTokens));
  if (FlagAt(body.value(), "stream")) {
    SendStream(aRequest, aResponse, prompt, tokens);
  } else {
    SendPlain(aRequest, aResponse, prompt, tokens);
  }
}

void
EngineStandin::WaitForToken()
{
  std::this_thread::sleep_for(mOptions.mTimePerToken +
                              milliseconds(Faults().Number("slow_token")));
  mTarget.WaitWhileFrozen();
}

void
EngineStandin::SendStream(HTTPServerRequest& aRequest,
                          HTTPServerResponse& aResponse,
                          const std::string& aPrompt,
                          uint32_t aTokens)
{
  const bool cut = Faults().ConsumeOne("truncate");
  const std::string resume = aRequest.get(kResumeField, "0");
  aResponse.set(kResumeField, resume);
  aResponse.setContentType("text/event-stream");
  aResponse.setChunkedTransferEncoding(true);
  std::ostream& out = aResponse.send();
  for (uint32_t i = std::stoul(resume); i < aTokens && out.good(); ++i) {
    WaitForToken();
    out << EventOf(TokenOf(aPrompt, i)) << std::flush;
    if (cut && i >= aTokens / 2) {
      CutConnection(aRequest);
      return;
    }
  }
  out << "data: [DONE]\n\n" << std::flush;
}

void
EngineStandin::SendPlain(HTTPServerRequest& aRequest,
                         HTTPServerResponse& aResponse,
                         const std::string& aPrompt,
                         uint32_t aTokens)
{
  std::string content;
  for (uint32_t i = 0; i < aTokens; ++i) {
    WaitForToken();
    content += TokenOf(aPrompt, i);
  }
  Json::Value json;
  json["choices"][0]["message"]["content"] = content;
  const std::string text = ToJson(json);
  if (Faults().ConsumeOne("truncate")) {
    aResponse.setContentType("application/json");
    aResponse.setContentLength64(static_cast<int64_t>(text.size()));
    aResponse.send() << text.substr(0, text.size() / 2) << std::flush;
    CutConnection(aRequest);
    return;
  }
  SendReply(aResponse, 200, text);
}

} // namespace hibiscushold::standin
