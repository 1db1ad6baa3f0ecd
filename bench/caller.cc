#include "bench/caller.h"

#include "core/bodyreader.h"
#include "core/json.h"
#include "standin/engine.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <array>
#include <ostream>
#include <sstream>

namespace hibiscushold::bench {

namespace {

constexpr std::string_view kDataPrefix = "data: ";

/// Reads events until the end of the stream; [DONE] marks a complete answer.
void
ReadEvents(const std::string& aBody, CallResult& aResult)
{
  std::istringstream in(aBody);
  std::string line;
  while (std::getline(in, line)) {
    if (!line.starts_with(kDataPrefix)) {
      continue;
    }
    const std::string data = line.substr(kDataPrefix.size());
    if (data == "[DONE]") {
      aResult.mComplete = true;
      continue;
    }
    Result<Json::Value> json = ParseJsonObject(data);
    if (json && json.value().isMember("choices")) {
      const Json::Value& choice = json.value()["choices"][0];
      aResult.mContent += TextAt(choice["delta"], "content");
    }
  }
}

void
ReadPlain(std::string aBody, bool aIsMarked, CallResult& aResult)
{
  aResult.mBody = std::move(aBody);
  aResult.mComplete = aIsMarked;
  Result<Json::Value> json = ParseJsonObject(aResult.mBody);
  if (json && json.value().isMember("choices")) {
    const Json::Value& choice = json.value()["choices"][0];
    aResult.mContent = TextAt(choice["message"], "content");
  }
}

} // namespace

Caller::Caller(SessionPool& aPool, const Clock& aClock)
  : mPool(aPool)
  , mClock(aClock)
{
}

CallResult
Caller::Send(const Call& aCall, Duration aIdleTimeout)
{
  CallResult result;
  SessionPool::Session session = mPool.Acquire(aCall.mAddress);
  if (Connect(*session, aCall.mAddress, aIdleTimeout)) {
    result.mConnected = true;
    try {
      Exchange(*session, aCall, result);
    } catch (const Poco::Exception&) {
      result.mComplete = false;
    }
    if (result.mComplete && session->connected()) {
      mPool.Release(aCall.mAddress, std::move(session));
    }
  }
  result.mEndedAt = mClock.Now();
  return result;
}

void
Caller::Exchange(HttpSession& aSession, const Call& aCall, CallResult& aResult)
{
  std::vector<HttpField> fields{
    { "Content-Type", "application/json" },
    { "Authorization", "Bearer " + aCall.mKey },
  };
  if (!aCall.mIdempotencyKey.empty()) {
    fields.push_back({ "Idempotency-Key", aCall.mIdempotencyKey });
  }
  const Result<void> sent =
    aSession.SendRequest("POST", aCall.mPath, fields, aCall.mBody);
  if (!sent) {
    throw Poco::Net::MessageException(sent.error().mDetail);
  }
  const ResponseHead reply = aSession.ReceiveHead();
  aResult.mFirstByteAt = mClock.Now();
  aResult.mStatus = reply.mStatus;
  aResult.mRanHeader = FindField(reply, "X-Hibiscushold-Ran").value_or("");
  aResult.mRequestId = FindField(reply, "X-Request-Id").value_or("");
  BodyReader reader(aSession, reply);
  std::string body;
  std::array<char, 16384> buf;
  const bool isStream = ContentTypeOf(reply).starts_with("text/event-stream");
  try {
    for (size_t n = reader.Read(buf); n > 0; n = reader.Read(buf)) {
      body.append(buf.data(), n);
    }
  } catch (const Poco::Exception&) {
    if (isStream) {
      ReadEvents(body, aResult); // the events of a stream that was cut off
    }
    throw;
  }
  if (!reply.mKeepsConnection) {
    aSession.reset();
  }
  if (isStream) {
    ReadEvents(body, aResult);
  } else {
    ReadPlain(std::move(body), reader.MarksItsEnd(), aResult);
  }
}

std::string
ChatBody(const std::string& aPrompt, uint32_t aTokens, bool aStream)
{
  Json::Value json;
  json["model"] = "bench-model";
  json["stream"] = aStream;
  json["max_tokens"] = aTokens;
  json["messages"][0]["role"] = "user";
  json["messages"][0]["content"] = aPrompt;
  return ToJson(json);
}

std::string
ExpectedContent(const std::string& aPrompt, uint32_t aTokens)
{
  std::string content;
  for (uint32_t i = 0; i < aTokens; ++i) {
    content += standin::TokenOf(aPrompt + "\n", i);
  }
  return content;
}

} // namespace hibiscushold::bench
