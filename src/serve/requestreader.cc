#include "serve/requestreader.h"

#include "core/ids.h"
#include "core/json.h"
#include "route/prefix.h"
#include "serve/framing.h"

namespace hibiscushold {

namespace {

constexpr size_t kMaxIdempotencyKeyBytes = 255;
constexpr uint32_t kNotFreshRetryAfterMillis = 1000;
constexpr uint32_t kChangePendingRetryAfterMillis = 200;
constexpr std::string_view kBearerPrefix = "Bearer ";

Refusal
Invalid(std::string aMessage)
{
  return { RefusalKind::InvalidRequest, std::move(aMessage) };
}

ResultOrRefusal<const AccountRule*>
Authenticate(const RequestHead& aHead, const Rules& aRules)
{
  const std::string field = FieldOf(aHead, "Authorization");
  const AccountRule* account = nullptr;
  if (field.starts_with(kBearerPrefix)) {
    const std::string key = field.substr(kBearerPrefix.size());
    account = FindAccountByKey(aRules, Sha256Hex(key));
  }
  if (account == nullptr) {
    return Refusal{ RefusalKind::Unauthorized,
                    "header Authorization: the key is missing or unknown; "
                    "send 'Authorization: Bearer KEY'" };
  }
  return account;
}

/// Refuses fields of which a target or another reader may use another one.
ResultOrRefusal<void>
CheckSingleFields(const RequestHead& aHead)
{
  for (const char* it :
       { "Authorization", "Idempotency-Key", "Content-Type" }) {
    if (CountFields(aHead.mFields, it) > 1) {
      return Invalid("header " + std::string(it) + ": send it once");
    }
  }
  return boost::outcome_v2::success();
}

/// Reads the model, the prompt prefix and the stream flag from the JSON body of
/// a request under /v1/. The body of any other request may have any format.
ResultOrRefusal<void>
ReadModelFields(CallerRequest& aRequest)
{
  const bool forModel = aRequest.mPath.starts_with("/v1/");
  if (!forModel) {
    return boost::outcome_v2::success();
  }
  Result<Json::Value> json = ParseJsonObject(aRequest.mBody);
  if (!json) {
    return Invalid("body: " + Describe(json.error()));
  }
  aRequest.mModel = TextAt(json.value(), "model");
  aRequest.mPrefix = PromptPrefix(json.value());
  aRequest.mStream = FlagAt(json.value(), "stream");
  if (aRequest.mModel.empty()) {
    return Invalid("body: member 'model' is missing; name a model");
  }
  return boost::outcome_v2::success();
}

ResultOrRefusal<void>
MatchToRoute(CallerRequest& aRequest, TimePoint aNow)
{
  const std::string_view path = aRequest.mPath;
  const std::optional<RouteMatch> match =
    MatchRoute(aRequest.mConfig->mRules,
               aRequest.mAccount,
               path.substr(0, path.find('?')),
               aRequest.mModel);
  if (!match) {
    return Refusal{ RefusalKind::NoRoute,
                    "no route takes path '" + aRequest.mPath + "' and model '" +
                      aRequest.mModel + "' from account '" + aRequest.mAccount +
                      "'" };
  }
  aRequest.mMatch = *match;
  aRequest.mDeadline = aNow + match->mPolicy->mTimeout;
  const std::string& key = aRequest.mIdempotencyKey;
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return Invalid("header Idempotency-Key: it is longer than 255 bytes");
  }
  if (!match->mPolicy->mIdempotent && key.empty()) {
    return Invalid("header Idempotency-Key: it is required on this route; "
                   "send a key that is unique for the request");
  }
  return boost::outcome_v2::success();
}

} // namespace

ResultOrRefusal<CallerRequest>
ReadRequest(ServerRequest& aRequest,
            const std::string& aId,
            const ActiveConfigPtr& aConfig,
            const Settings& aSettings,
            const Clock& aClock)
{
  const TimePoint now = aClock.Now();
  const RequestHead& head = aRequest.Head();
  BOOST_OUTCOME_TRY(CheckFraming(head, aSettings));
  BOOST_OUTCOME_TRY(CheckSingleFields(head));
  if (aConfig->mVersion == 0) {
    return Refusal{ RefusalKind::ConfigNotFresh,
                    "the node knows no rules yet; "
                    "send the request to another node",
                    Ran::No,
                    kNotFreshRetryAfterMillis };
  }
  BOOST_OUTCOME_TRY(account, Authenticate(head, aConfig->mRules));
  CallerRequest request;
  request.mId = aId;
  request.mAccount = account->mName;
  request.mMethod = head.mMethod;
  request.mPath = head.mUri;
  request.mContentType = FieldOf(head, "Content-Type");
  request.mIdempotencyKey = FieldOf(head, "Idempotency-Key");
  request.mConfig = aConfig;
  BOOST_OUTCOME_TRY(body, ReadBody(aRequest, now + aSettings.mBodyTimeout));
  request.mBody = std::move(body);
  BOOST_OUTCOME_TRY(ReadModelFields(request));
  BOOST_OUTCOME_TRY(MatchToRoute(request, now));
  return request;
}

ResultOrRefusal<void>
CheckFreshness(const CallerRequest& aRequest,
               const ConfigAgent::ConfigState& aConfigState,
               const FreshnessState& aState,
               TimePoint aNow)
{
  // The version against which the request was matched may have been replaced
  // since.
  FreshnessState state = aState;
  state.mActiveVersion = aRequest.mConfig->mVersion;
  const ConfigAdmission admission = DecideConfigAdmission(state, aNow);
  if (admission == ConfigAdmission::All) {
    return boost::outcome_v2::success();
  }
  if (admission == ConfigAdmission::None) {
    return Refusal{ RefusalKind::ConfigNotFresh,
                    "the node cannot tell whether its rules are current; "
                    "send the request to another node",
                    Ran::No,
                    kNotFreshRetryAfterMillis };
  }
  const std::string_view path = aRequest.mPath;
  const RequestFeatures features{ aRequest.mAccount,
                                  path.substr(0, path.find('?')),
                                  aRequest.mModel };
  if (aConfigState.mNextActive != nullptr &&
      HaveSameResult(
        aRequest.mConfig->mRules, aConfigState.mNextActive->mRules, features)) {
    return boost::outcome_v2::success();
  }
  return Refusal{ RefusalKind::ConfigChangePending,
                  "a change of the rules that concerns this request is under "
                  "way; repeat it",
                  Ran::No,
                  kChangePendingRetryAfterMillis };
}

} // namespace hibiscushold
