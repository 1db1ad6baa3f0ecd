#include "gateway/callerrequest.h"

#include "core/bodyreader.h"
#include "core/hash.h"
#include "core/sessionpool.h"
#include "gateway/exchange.h"
#include "gateway/peers.h"
#include "gateway/promptparts.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <initializer_list>
#include <set>

namespace hibiscushold {

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
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

/// Checks the fields that the node reads as a target does: of a single one, a
/// target might use another line than the node, and none if it is named as one
/// of the connection.
ResultOrRefusal<void>
CheckSharedFields(const RequestHead& aHead, const ProtocolNames& aProtocol)
{
  const std::vector<std::string>& options = aHead.mConnectionOptions;
  for (const std::string& it : { aProtocol.mRequestId,
                                 aProtocol.mDeadline,
                                 aProtocol.mLastEvent,
                                 aProtocol.mModel,
                                 aProtocol.mTokenCounts,
                                 aProtocol.mPromptParts,
                                 std::string("Authorization"),
                                 std::string("Host") }) {
    const bool isList = it == aProtocol.mPromptParts;
    if (!isList && CountFields(aHead.mFields, it) > 1) {
      return Invalid("header " + it + ": send it once");
    }
    if (std::find(options.begin(), options.end(), ToLowerAscii(it)) !=
        options.end()) {
      return Invalid("header Connection: " + it + " is not its option");
    }
  }
  return boost::outcome_v2::success();
}

/// @return the value of a field that is a list, whose parts may have lines of
///         their own (RFC 9110, section 5.3)
std::string
ListOf(const RequestHead& aHead, std::string_view aName)
{
  std::string list;
  for (const HttpField& it : aHead.mFields) {
    if (HasName(it, aName)) {
      list += (list.empty() ? "" : ",") + it.mValue;
    }
  }
  return list;
}

ResultOrRefusal<void>
CheckLength(const RequestHead& aHead, uint64_t aMaxBytes)
{
  if (aHead.mLength > aMaxBytes) {
    return Refusal{ RefusalKind::BodyTooLarge,
                    "the limit is " + std::to_string(aMaxBytes) + " bytes" };
  }
  return boost::outcome_v2::success();
}

/// @return lower-case names of the headers that are not forwarded: those that
///         the node sets itself, those meant for the node only, and those
///         listed in the Connection header
std::set<std::string>
NamesNotForwarded(const RequestHead& aHead, const ProtocolNames& aProtocol)
{
  std::set<std::string> names(aHead.mConnectionOptions.begin(),
                              aHead.mConnectionOptions.end());
  for (const std::string& it : { aProtocol.mDeadline,
                                 aProtocol.mAccount,
                                 aProtocol.mExpectVm,
                                 aProtocol.mLastEvent,
                                 aProtocol.mPriority,
                                 std::string(kPeerField),
                                 std::string(kPeerVersionField),
                                 std::string("Authorization"),
                                 std::string("Expect") }) {
    names.insert(ToLowerAscii(it));
  }
  return names;
}

void
CopyFields(const RequestHead& aHead,
           const ProtocolNames& aProtocol,
           GatewayRequest& aInto)
{
  const std::set<std::string> notForwarded =
    NamesNotForwarded(aHead, aProtocol);
  for (const HttpField& it : aHead.mFields) {
    if (!IsConnectionField(it.mName) &&
        !notForwarded.contains(ToLowerAscii(it.mName))) {
      aInto.mFields.push_back(it);
    }
  }
}

ResultOrRefusal<void>
Authenticate(const RequestHead& aHead, GatewayRequest& aInto)
{
  if (!aInto.mConfig->mHasAccounts || aInto.mRoute->mPublic) {
    return boost::outcome_v2::success();
  }
  const std::string field = FieldOf(aHead, "Authorization");
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
DeadlineOf(const RequestHead& aHead,
           const ProtocolNames& aProtocol,
           const GatewayRequest& aParsed)
{
  milliseconds timeout = aParsed.mRoute->mTimeout;
  if (HasField(aHead, aProtocol.mDeadline)) {
    const uint64_t requested =
      std::min(ParseNumber(FieldOf(aHead, aProtocol.mDeadline)),
               kMaxRequestedWaitMillis);
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

} // namespace

ResultOrRefusal<GatewayRequest>
ReadHead(const RequestHead& aHead,
         const FleetConfigPtr& aConfig,
         const ProtocolNames& aProtocol,
         TimePoint aNow,
         double aFraction)
{
  BOOST_OUTCOME_TRY(CheckLength(aHead, aConfig->mLimits.mMaxBodyBytes));
  BOOST_OUTCOME_TRY(CheckSharedFields(aHead, aProtocol));
  GatewayRequest request;
  request.mConfig = aConfig;
  request.mArrivedAt = aNow;
  request.mId = FieldOf(aHead, aProtocol.mRequestId);
  request.mMethod = aHead.mMethod;
  request.mUri = aHead.mUri;
  const std::string path = request.mUri.substr(0, request.mUri.find('?'));
  request.mRoute = FindRoute(*aConfig, FieldOf(aHead, "Host"), path);
  if (request.mRoute == nullptr) {
    return Refusal{ RefusalKind::NoRoute, "no route takes this host and path" };
  }
  BOOST_OUTCOME_TRY(Authenticate(aHead, request));
  request.mUrgency.mRoute = request.mRoute->mPriority;
  request.mDeadline = DeadlineOf(aHead, aProtocol, request);
  // Callers state how long they still wait, which is less after a refusal.
  request.mFirstSentAt =
    std::min(aNow, request.mDeadline - request.mRoute->mTimeout);
  request.mService = std::string(PickService(*request.mRoute, aFraction));
  request.mAuthorization = FieldOf(aHead, "Authorization");
  request.mModel = FieldOf(aHead, aProtocol.mModel);
  request.mLastEvent = ParseNumber(FieldOf(aHead, aProtocol.mLastEvent));
  request.mPromptTokens =
    static_cast<uint32_t>(ParseNumber(FieldOf(aHead, aProtocol.mTokenCounts)));
  const std::string parts = ListOf(aHead, aProtocol.mPromptParts);
  request.mTraits.mParts = ParseSharedParts(parts);
  request.mTraits.mContent = HashOf(
    { request.mAccount, request.mMethod, request.mUri, request.mModel, parts });
  request.mTraits.mResource = HashOf({ request.mAccount, path });
  CopyFields(aHead, aProtocol, request);
  if (!request.mAccount.empty()) {
    request.mFields.push_back({ aProtocol.mAccount, request.mAccount });
  }
  return request;
}

ResultOrRefusal<void>
ReadBody(ServerRequest& aRequest, ByteBudget& aBodies, GatewayRequest& aInto)
{
  aRequest.Session().SetDeadline(aInto.mDeadline);
  BodyReader& body = aRequest.Body();
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
