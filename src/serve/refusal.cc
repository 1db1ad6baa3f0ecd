#include "serve/refusal.h"

#include "core/json.h"

#include <array>

namespace hibiscushold {

namespace {

struct KindText
{
  int mStatus;
  const char* mName;
};

constexpr std::array<KindText, 19> kKinds = { {
  { 400, "invalid_request" },   { 401, "unauthorized" },
  { 404, "no_route" },          { 409, "duplicate" },
  { 409, "outcome_unknown" },   { 409, "already_ran" },
  { 413, "body_too_large" },    { 429, "rate_limited" },
  { 502, "target_failed" },     { 503, "no_target" },
  { 503, "store_unavailable" }, { 503, "overloaded" },
  { 503, "stopping" },          { 504, "deadline_passed" },
  { 503, "config_not_fresh" },  { 503, "config_undecided" },
  { 503, "quarantined" },       { 503, "peer_refused" },
  { 431, "head_too_large" },
} };

} // namespace

int
StatusOf(RefusalKind aKind)
{
  return kKinds[static_cast<size_t>(aKind)].mStatus;
}

const char*
NameOf(RefusalKind aKind)
{
  return kKinds[static_cast<size_t>(aKind)].mName;
}

const char*
NameOf(Ran aRan)
{
  return aRan == Ran::No ? "no" : aRan == Ran::Yes ? "yes" : "unknown";
}

std::string
RenderRefusal(const Refusal& aRefusal)
{
  Json::Value error;
  error["type"] = NameOf(aRefusal.mKind);
  error["message"] = aRefusal.mMessage;
  error["ran"] = NameOf(aRefusal.mRan);
  error["retry_after_ms"] = aRefusal.mRetryAfterMillis;
  Json::Value json;
  json["error"] = error;
  return ToJson(json);
}

} // namespace hibiscushold
