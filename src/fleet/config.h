#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hibiscushold {

/// Whether requests of a route may be sent again after a failure.
enum class RetryPolicy
{
  Idempotent, ///< may be executed more than once
  AtMostOnce, ///< executed at most once for each attempt of a caller
  Stream,     ///< an event stream; sent again only if it can be resumed
};

/// A service and its weight among the services of a route.
struct ServiceShare
{
  std::string mService;
  uint32_t mWeight = 1;
};

/// Maps requests by host and path prefix to services.
struct FleetRoute
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix;
  RetryPolicy mRetryPolicy = RetryPolicy::AtMostOnce;
  milliseconds mTimeout{ 10000 }; ///< longest wait for the complete response
  milliseconds mLatencyTarget{ 500 }; ///< to the response or the first event
  milliseconds mGapTarget{ 300 };     ///< between events
  /// Callers give up a stream whose first event takes longer.
  milliseconds mPatience{ 2000 };
  uint32_t mPriority = 0; ///< 0 is the most urgent
  uint32_t mAttempts = 1; ///< targets that may be tried for a caller's attempt
  bool mPublic = false;   ///< accepts requests without a key
  bool mResumable = false;
  std::vector<ServiceShare> mShares;
};

/// A model that groups of an engine service can serve.
struct FleetModel
{
  std::string mName;
  uint32_t mSize = 1; ///< VMs in a group
  double mShare = 1;  ///< share of the service's VMs, as a fraction
  double mPace = 1;   ///< factor on all times of a group; higher is slower
  milliseconds mLoadTime{};      ///< to load the model from the weight store
  milliseconds mWarmStartTime{}; ///< to start it from the copy on the host
};

/// Times that a target needs to process requests. An engine works in passes:
/// each advances all its streams by one event.
struct TargetTimes
{
  double mPassMillis = 0;        ///< a pass without the additions below
  double mMillisPerRequest = 40; ///< added to a pass by each request
  double mMillisPerToken = 0;    ///< added to a pass by each prompt token
  double mTokensPerPass = 0;     ///< prompt tokens that fit into a pass; 0: all
  double mPassesPerRequest = 0;  ///< that a usual response takes
};

/// The properties of a service's engines.
struct EngineSpec
{
  std::vector<FleetModel> mModels;
  uint32_t mSlots = 1;        ///< requests that a group runs at once
  uint64_t mMemoryTokens = 0; ///< tokens that fit into a group's memory
  double mStepMillis = 6;     ///< a step, which generates a token per request
  double mStepMillisPerRequest = 0; ///< added for each request that generates
  double mPrefillTokensPerMilli = 50;
  double mPrefillTokensPerPass = 0; ///< 0: no limit
  uint32_t mTokensPerEvent = 1; ///< steps in a pass, and so tokens in an event
  double mLoadsPerSecond = 1;   ///< from the weight store, by all VMs
  uint32_t mLoadsAtOnce = 1;
  milliseconds mOpenTime{ 300 }; ///< time that a head needs to open
  double mUsualPromptTokens = 1000;
  double mUsualAnswerTokens = 200;

  /// @return the model, or null
  const FleetModel* FindModel(std::string_view aName) const;

  /// @return the times of a group that serves the model
  TargetTimes TimesOf(const FleetModel& aModel) const;
};

/// A service: a pool of targets that run engines or a plain program.
struct FleetService
{
  std::string mName;
  std::optional<EngineSpec> mEngine;
  /// Requests a second that a cold VM tolerates; 0 if the service has no limit.
  double mColdRequestsPerSecond = 0;
};

/// A client account.
struct FleetAccount
{
  std::string mName;
  uint32_t mPriority = 0; ///< 0 is the most urgent; goes before the route's
};

/// Limits for requests and connections of callers.
struct CallerLimits
{
  uint64_t mMaxBodyBytes = 4194304;
  size_t mMaxHeadBytes = 16384;
  milliseconds mHeaderTimeout{ 3000 };
  milliseconds mIdleTimeout{ 15000 };
};

/// A complete configuration; immutable once it is in force.
struct FleetConfig
{
  uint64_t mVersion = 0;
  std::vector<FleetRoute> mRoutes;
  std::map<std::string, FleetService, std::less<>> mServices;
  std::unordered_map<std::string, FleetAccount> mAccountsByKey;
  CallerLimits mLimits;
  bool mHasAccounts = false; ///< requests need a key, except on public routes
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

/// @param aHost the Host field as received; a port in it is ignored
/// @return the route of the host with the longest prefix of aPath, or null
const FleetRoute*
FindRoute(const FleetConfig& aConfig,
          std::string_view aHost,
          std::string_view aPath);

/// @return the account of the key, or null
const FleetAccount*
FindAccount(const FleetConfig& aConfig, std::string_view aKey);

/// Chooses a service of the route by weight.
/// @param aFraction random, at least 0 and less than 1
/// @return the name of the service, empty when the route has none
std::string_view
PickService(const FleetRoute& aRoute, double aFraction);

} // namespace hibiscushold
