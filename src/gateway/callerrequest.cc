#include "gateway/callerrequest.h"

#include "core/bodyreader.h"
#include "core/hash.h"
#include "core/sessionpool.h"
#include "gateway/callersession.h"
#include "gateway/exchange.h"
#include "gateway/peers.h"
#include "gateway/promptparts.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <initializer_list>
#include <set>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPServerRequest;

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr size_t kMaxLengthDigits = 18;
/// Time in which some requests that wait with their bodies end.
constexpr uint32_t kNoRoomRetryMillis = 250;
/// Upper bound on the deadline that a caller can request.
constexpr uint64_t kMaxRequestedWaitMillis = 3600000;

Refusal
Invalid(std::string aMessage)
{
  return { RefusalKind::InvalidRequest, std::move(aMessage) };
}

uint64_t
ParseNumber(const std::string& aText)
{
  uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

size_t
CountFields(const HTTPServerRequest& aRequest, const std::string& aName)
{
  size_t n = 0;
  for (const auto& [name, value] : aRequest) {
    n += Poco::icompare(name, aName) == 0 ? 1 : 0;
  }
  return n;
}

/// Rejects requests whose length is ambiguous, since two HTTP parsers could
/// disagree on where they end (request smuggling).
ResultOrRefusal<void>
CheckFraming(const HTTPServerRequest& aRequest, uint64_t aMaxBytes)
{
  const size_t lengths = CountFields(aRequest, "Content-Length");
  const size_t encodings = CountFields(aRequest, "Transfer-Encoding");
  if (lengths + encodings > 1) {
    return Invalid("send either one Content-Length or one Transfer-Encoding");
  }
  if (encodings == 1 && !aRequest.getChunkedTransferEncoding()) {
    return Invalid("header Transfer-Encoding: only 'chunked' is taken");
  }
  if (lengths == 0) {
    return boost::outcome_v2::success();
  }
  const std::string& text = aRequest.get("Content-Length");
  const bool digits = std::all_of(
    text.begin(), text.end(), [](char it) { return it >= '0' && it <= '9'; });
  if (!digits || text.empty() || text.size() > kMaxLengthDigits) {
    return Invalid("header Content-Length: send one whole number");
  }
  if (ParseNumber(text) > aMaxBytes) {
    return Refusal{ RefusalKind::BodyTooLarge,
                    "the limit is " + std::to_string(aMaxBytes) + " bytes" };
  }
  return boost::outcome_v2::success();
}

/// @return lower-case names of the headers that are not forwarded: those that
///         the node sets itself, those meant for the node only, and those
///         listed in the Connection header
std::set<std::string>
NamesNotForwarded(const HTTPServerRequest& aRequest,
                  const ProtocolNames& aProtocol)
{
  std::set<std::string> names;
  for (const std::string& it : { aProtocol.mDeadline,
                                 aProtocol.mAccount,
                                 aProtocol.mExpectVm,
                                 aProtocol.mLastEvent,
                                 aProtocol.mPriority,
                                 std::string(kPeerField),
                                 std::string(kPeerVersionField),
                                 std::string("Authorization"),
                                 std::string("Expect") }) {
    names.insert(Poco::toLower(it));
  }
  const Poco::StringTokenizer connectionOptions(
    aRequest.get("Connection", ""), ",", Poco::StringTokenizer::TOK_TRIM);
  for (const std::string& it : connectionOptions) {
    names.insert(Poco::toLower(it));
  }
  return names;
}

void
CopyFields(const HTTPServerRequest& aRequest,
           const ProtocolNames& aProtocol,
           GatewayRequest& aInto)
{
  const std::set<std::string> notForwarded =
    NamesNotForwarded(aRequest, aProtocol);
  for (const auto& [name, value] : aRequest) {
    if (!IsConnectionField(name) &&
        !notForwarded.contains(Poco::toLower(name))) {
      aInto.mFields.push_back({ name, value });
    }
  }
}

ResultOrRefusal<void>
Authenticate(const HTTPServerRequest& aRequest, GatewayRequest& aInto)
{
  if (!aInto.mConfig->mHasAccounts || aInto.mRoute->mPublic) {
    return boost::outcome_v2::success();
  }
  const std::string field = aRequest.get("Authorization", "");
  const FleetAccount* account = nullptr;
  if (field.starts_with(kBearerPrefix)) {
    account = FindAccount(*aInto.mConfig, field.substr(kBearerPrefix.size()));
  }
  if (account == nullptr) {
    return Refusal{ RefusalKind::Unauthorized,
                    "header Authorization: the key is missing or unknown" };
  }
  aInto.mAccount = account->mName;
  aInto.mUrgency.mAccount = account->mPriority;
  return boost::outcome_v2::success();
}

TimePoint
DeadlineOf(const HTTPServerRequest& aRequest,
           const ProtocolNames& aProtocol,
           const GatewayRequest& aParsed)
{
  milliseconds timeout = aParsed.mRoute->mTimeout;
  if (aRequest.has(aProtocol.mDeadline)) {
    const uint64_t requested = std::min(
      ParseNumber(aRequest.get(aProtocol.mDeadline)), kMaxRequestedWaitMillis);
    timeout = std::min(timeout, milliseconds(requested));
  }
  return aParsed.mArrivedAt + timeout;
}

uint64_t
HashOf(std::initializer_list<std::string_view> aTexts)
{
  uint64_t hash = kHashStart;
  for (const std::string_view it : aTexts) {
    hash = Hash64(it, hash);
  }
  return hash;
}

void
AddBodyTo(RequestTraits& aTraits, std::string_view aBody)
{
  aTraits.mContent = Hash64(aBody, aTraits.mContent);
  aTraits.mResource = Hash64(aBody, aTraits.mResource.value_or(kHashStart));
}

/// Limits the next read to aLeft.
/// @throw Poco::TimeoutException if no time is left
void
LimitRead(CallerSession& aSession, Duration aLeft)
{
  if (aLeft == Duration::zero()) {
    throw Poco::TimeoutException("no time is left");
  }
  aSession.socket().setReceiveTimeout(ToTimespan(aLeft));
}

} // namespace

ResultOrRefusal<GatewayRequest>
ReadHead(const HTTPServerRequest& aRequest,
         const FleetConfigPtr& aConfig,
         const ProtocolNames& aProtocol,
         TimePoint aNow,
         double aFraction)
{
  BOOST_OUTCOME_TRY(CheckFraming(aRequest, aConfig->mLimits.mMaxBodyBytes));
  GatewayRequest request;
  request.mConfig = aConfig;
  request.mArrivedAt = aNow;
  request.mId = aRequest.get(aProtocol.mRequestId, "");
  request.mMethod = aRequest.getMethod();
  request.mUri = aRequest.getURI();
  const std::string path = request.mUri.substr(0, request.mUri.find('?'));
  request.mRoute = FindRoute(*aConfig, aRequest.get("Host", ""), path);
  if (request.mRoute == nullptr) {
    return Refusal{ RefusalKind::NoRoute, "no route takes this host and path" };
  }
  BOOST_OUTCOME_TRY(Authenticate(aRequest, request));
  request.mUrgency.mRoute = request.mRoute->mPriority;
  request.mDeadline = DeadlineOf(aRequest, aProtocol, request);
  // Callers state how long they still wait, which is less after a refusal.
  request.mFirstSentAt =
    std::min(aNow, request.mDeadline - request.mRoute->mTimeout);
  request.mService = std::string(PickService(*request.mRoute, aFraction));
  request.mAuthorization = aRequest.get("Authorization", "");
  request.mModel = aRequest.get(aProtocol.mModel, "");
  request.mLastEvent = ParseNumber(aRequest.get(aProtocol.mLastEvent, "0"));
  request.mPromptTokens = static_cast<uint32_t>(
    ParseNumber(aRequest.get(aProtocol.mTokenCounts, "0")));
  const std::string parts = aRequest.get(aProtocol.mPromptParts, "");
  request.mTraits.mParts = ParseSharedParts(parts);
  request.mTraits.mContent = HashOf(
    { request.mAccount, request.mMethod, request.mUri, request.mModel, parts });
  request.mTraits.mResource = HashOf({ request.mAccount, path });
  CopyFields(aRequest, aProtocol, request);
  if (!request.mAccount.empty()) {
    request.mFields.push_back({ aProtocol.mAccount, request.mAccount });
  }
  return request;
}

ResultOrRefusal<void>
ReadBody(HTTPServerRequest& aRequest,
         const Clock& aClock,
         ByteBudget& aBodies,
         GatewayRequest& aInto)
{
  const bool chunked = aRequest.getChunkedTransferEncoding();
  if (!chunked && !aRequest.hasContentLength()) {
    AddBodyTo(aInto.mTraits, {});
    return boost::outcome_v2::success();
  }
  auto& request = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest);
  auto& session = dynamic_cast<CallerSession&>(request.session());
  const RawReader readRaw = [&](std::span<char> aBuffer) {
    if (!session.HasUnreadBytes()) {
      LimitRead(session, TimeLeft(aInto.mDeadline, aClock.Now()));
    }
    return session.ReadRaw(aBuffer);
  };
  BodyReader body(
    readRaw,
    chunked ? BodyFraming::Chunked : BodyFraming::Length,
    chunked ? 0 : static_cast<uint64_t>(aRequest.getContentLength64()));
  const uint64_t maxBytes = aInto.mConfig->mLimits.mMaxBodyBytes;
  aInto.mHeldBytes = BudgetedBytes(aBodies);
  try {
    std::array<char, 16384> buf;
    for (size_t n = body.Read(buf); n > 0; n = body.Read(buf)) {
      if (aInto.mBody.size() + n > maxBytes) {
        return Refusal{ RefusalKind::BodyTooLarge,
                        "the limit is " + std::to_string(maxBytes) + " bytes" };
      }
      if (!AppendWithin(aInto.mHeldBytes, aInto.mBody, { buf.data(), n })) {
        return Refusal{ RefusalKind::Overloaded,
                        "the bodies of other requests take all room",
                        Ran::No,
                        kNoRoomRetryMillis };
      }
    }
  } catch (const Poco::TimeoutException&) {
    return Refusal{ RefusalKind::DeadlinePassed,
                    "the body did not arrive in time" };
  } catch (const Poco::Exception& e) {
    return Invalid("body: " + e.displayText());
  }
  AddBodyTo(aInto.mTraits, aInto.mBody);
  return boost::outcome_v2::success();
}

} // namespace hibiscushold
