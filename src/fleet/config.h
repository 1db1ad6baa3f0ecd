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

/// What may be repeated of a route's requests.
enum class Repeats
{
  Idempotent, ///< may run more than once
  Once,       ///< runs at most once for each attempt of a caller
  Stream,     ///< an event stream; repeated only where it can be resumed
};

/// A service that takes a part of a route's requests.
struct ServiceShare
{
  std::string mService;
  uint32_t mWeight = 1;
};

/// Sends requests of a host and a path prefix to services.
struct FleetRoute
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix;
  Repeats mRepeats = Repeats::Once;
  milliseconds mTimeout{ 10000 };     ///< longest wait for the whole answer
  milliseconds mLatencyTarget{ 500 }; ///< to the answer or the first event
  milliseconds mGapTarget{ 300 };     ///< between events
  uint32_t mAttempts = 1;             ///< targets that an attempt may reach
  bool mPublic = false;               ///< takes requests without a key
  bool mResumable = false;
  std::vector<ServiceShare> mShares;
};

/// A model that groups of an engine service can serve.
struct FleetModel
{
  std::string mName;
  uint32_t mSize = 1;   ///< VMs in a group
  double mShare = 1;    ///< part of the service's work
  double mPace = 1;     ///< factor on all times of a group
  milliseconds mLoad{}; ///< from the weight store
  milliseconds mWarm{}; ///< from the host's own copy
};

/// How long the parts of a target's work take.
struct TargetTimes
{
  double mPassMillis = 0; ///< from one event of a stream to the next, alone
  double mMillisPerRequest = 40; ///< that one more request costs the others
  double mMillisPerToken = 0;    ///< reading of a prompt
};

/// What is known of a service's engines.
struct EngineSpec
{
  std::vector<FleetModel> mModels;
  uint32_t mSlots = 1; ///< requests of a group that run at once
  uint64_t mMemoryTokens = 0;
  double mStepMillis = 6;           ///< a token step
  double mStepMillisPerRequest = 0; ///< added for each request that writes
  double mPrefillTokensPerMilli = 50;
  uint32_t mStride = 1; ///< token steps in a pass, and tokens in an event
  double mLoadsPerSecond = 1;
  uint32_t mLoadsAtOnce = 1;
  milliseconds mOpening{ 300 }; ///< a head needs before it serves
  double mUsualPrompt = 1000;   ///< tokens
  double mUsualAnswer = 200;    ///< tokens

  /// @return the model, or null
  const FleetModel* FindModel(std::string_view aName) const;

  /// @return the times of a group that serves the model
  TargetTimes TimesOf(const FleetModel& aModel) const;
};

/// A service: a pool of targets, of engines or of a plain program.
struct FleetService
{
  std::string mName;
  std::optional<EngineSpec> mEngine;
};

/// A client account.
struct FleetAccount
{
  std::string mName;
};

/// Bounds on what a caller may send.
struct CallerLimits
{
  uint64_t mMaxBodyBytes = 4194304;
  milliseconds mHeaderTimeout{ 3000 };
  milliseconds mIdle{ 15000 };
};

/// A whole configuration; never changed once it is in force.
struct FleetConfig
{
  uint64_t mVersion = 0;
  std::vector<FleetRoute> mRoutes;
  std::map<std::string, FleetService, std::less<>> mServices;
  std::unordered_map<std::string, FleetAccount> mAccountsByKey;
  CallerLimits mLimits;
  bool mHasAccounts = false; ///< requests need a key, but on public routes
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

/// @param aHost the Host field as the caller sent it; a port is left out
/// @return the route of the host with the longest prefix of aPath, or null
const FleetRoute*
FindRoute(const FleetConfig& aConfig,
          std::string_view aHost,
          std::string_view aPath);

/// @return the account that holds the key, or null
const FleetAccount*
FindAccount(const FleetConfig& aConfig, std::string_view aKey);

/// @param aFraction a random number of at least 0 and less than 1
/// @return the name of the service that takes the request
std::string_view
PickService(const FleetRoute& aRoute, double aFraction);

} // namespace hibiscushold
