#include "store/httpplatform.h"

#include "core/json.h"

#include <Poco/URI.h>

namespace hibiscushold {

namespace {

constexpr auto kCallTimeout = milliseconds(1500);
/// Added to the longest wait of a watch, for the response to arrive.
constexpr auto kWatchTimeoutMargin = milliseconds(1000);

std::string
PercentEncode(std::string_view aText)
{
  std::string encoded;
  Poco::URI::encode(std::string(aText), "?#/&=+%", encoded);
  return encoded;
}

std::string
ObjectPath(std::string_view aKey)
{
  return "/objects/" + PercentEncode(aKey);
}

Object
ParseObject(const Json::Value& aJson)
{
  return { TextAt(aJson, "key"),
           NumberAt(aJson, "version"),
           TextAt(aJson, "value") };
}

Result<Listing>
ParseListing(const HttpReply& aReply)
{
  BOOST_OUTCOME_TRY(json, ParseJsonObject(aReply.mBody));
  Listing listing;
  listing.mRevision = NumberAt(json, "revision");
  for (const Json::Value& it : ArrayAt(json, "objects")) {
    listing.mObjects.push_back(ParseObject(it));
  }
  for (const Json::Value& it : ArrayAt(json, "deleted")) {
    listing.mDeleted.push_back(it.asString());
  }
  return listing;
}

Result<Vm>
ParseVm(const Json::Value& aJson)
{
  BOOST_OUTCOME_TRY(address, ParseEndpoint(TextAt(aJson, "address")));
  Vm vm;
  vm.mId = TextAt(aJson, "id");
  vm.mIncarnation = TextAt(aJson, "incarnation");
  vm.mAddress = address;
  vm.mZone = TextAt(aJson, "zone");
  vm.mDomain = TextAt(aJson, "domain");
  vm.mPool = TextAt(aJson, "pool");
  vm.mState =
    TextAt(aJson, "state") == "leaving" ? VmState::Leaving : VmState::Live;
  return vm;
}

Failure
FailureFromStatus(int aStatus, const std::string& aPath)
{
  switch (aStatus) {
    case 404:
      return { Error::StoreMissing, aPath, "" };
    case 412:
      return { Error::StoreConflict, aPath, "read it again" };
    case 429:
      return { Error::StoreThrottled, aPath, "call less often" };
    default:
      return { Error::StoreUnavailable,
               aPath + ": status " + std::to_string(aStatus),
               "" };
  }
}

} // namespace

HttpPlatform::HttpPlatform(Endpoint aAddress,
                           uint32_t aCallsPerSecond,
                           HttpClient& aClient,
                           const Clock& aClock,
                           Metrics& aMetrics)
  : mAddress(std::move(aAddress))
  , mClient(aClient)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mBudget(MakeCallBudget(aCallsPerSecond, aClock.Now()))
{
}

Result<HttpReply>
HttpPlatform::Send(const HttpRequest& aRequest,
                   CallPriority aPriority,
                   milliseconds aTimeout)
{
  {
    const std::lock_guard guard(mLock);
    if (!TryTakeCall(mBudget, aPriority, mClock.Now())) {
      mMetrics.CountStoreCall("throttled");
      return Failure{ Error::StoreThrottled, aRequest.mPath, "" };
    }
  }
  mMetrics.CountStoreCall(aRequest.mMethod);
  Result<HttpReply> reply =
    mClient.Call(mAddress, aRequest, mClock.Now() + aTimeout);
  if (!reply) {
    mMetrics.CountStoreCall("failed");
    return Failure{ Error::StoreUnavailable, Describe(reply.error()), "" };
  }
  if (reply.value().mStatus != 200) {
    return FailureFromStatus(reply.value().mStatus, aRequest.mPath);
  }
  return reply;
}

Result<Object>
HttpPlatform::Get(std::string_view aKey, CallPriority aPriority)
{
  BOOST_OUTCOME_TRY(
    reply, Send({ "GET", ObjectPath(aKey), {}, {} }, aPriority, kCallTimeout));
  BOOST_OUTCOME_TRY(json, ParseJsonObject(reply.mBody));
  return ParseObject(json);
}

Result<Listing>
HttpPlatform::List(std::string_view aPrefix, CallPriority aPriority)
{
  const std::string path = "/objects?prefix=" + PercentEncode(aPrefix);
  BOOST_OUTCOME_TRY(reply,
                    Send({ "GET", path, {}, {} }, aPriority, kCallTimeout));
  return ParseListing(reply);
}

Result<uint64_t>
HttpPlatform::Write(std::string_view aKey,
                    std::string_view aValue,
                    HttpField aCondition,
                    CallPriority aPriority)
{
  HttpRequest request{
    "PUT", ObjectPath(aKey), { std::move(aCondition) }, std::string(aValue)
  };
  BOOST_OUTCOME_TRY(reply, Send(request, aPriority, kCallTimeout));
  BOOST_OUTCOME_TRY(json, ParseJsonObject(reply.mBody));
  return NumberAt(json, "version");
}

Result<uint64_t>
HttpPlatform::Create(std::string_view aKey,
                     std::string_view aValue,
                     CallPriority aPriority)
{
  return Write(aKey, aValue, { "If-None-Match", "*" }, aPriority);
}

Result<uint64_t>
HttpPlatform::Update(std::string_view aKey,
                     std::string_view aValue,
                     uint64_t aVersion,
                     CallPriority aPriority)
{
  return Write(
    aKey, aValue, { "If-Match", std::to_string(aVersion) }, aPriority);
}

Result<void>
HttpPlatform::Delete(std::string_view aKey,
                     uint64_t aVersion,
                     CallPriority aPriority)
{
  HttpRequest request{
    "DELETE", ObjectPath(aKey), { { "If-Match", std::to_string(aVersion) } }, {}
  };
  BOOST_OUTCOME_TRY(Send(request, aPriority, kCallTimeout));
  return boost::outcome_v2::success();
}

Result<Listing>
HttpPlatform::Watch(std::string_view aPrefix,
                    uint64_t aSince,
                    milliseconds aWait)
{
  const std::string path = "/watch?prefix=" + PercentEncode(aPrefix) +
                           "&since=" + std::to_string(aSince) +
                           "&wait_ms=" + std::to_string(aWait.count());
  BOOST_OUTCOME_TRY(reply,
                    Send({ "GET", path, {}, {} },
                         CallPriority::Config,
                         aWait + kWatchTimeoutMargin));
  return ParseListing(reply);
}

Result<VmListing>
HttpPlatform::ListVms(uint64_t aSince)
{
  const std::string path = "/vms?since=" + std::to_string(aSince);
  BOOST_OUTCOME_TRY(
    reply, Send({ "GET", path, {}, {} }, CallPriority::Status, kCallTimeout));
  BOOST_OUTCOME_TRY(json, ParseJsonObject(reply.mBody));
  VmListing listing;
  listing.mRevision = NumberAt(json, "revision");
  listing.mUnchanged = FlagAt(json, "unchanged");
  for (const Json::Value& it : ArrayAt(json, "vms")) {
    BOOST_OUTCOME_TRY(vm, ParseVm(it));
    listing.mVms.push_back(vm);
  }
  return listing;
}

} // namespace hibiscushold
