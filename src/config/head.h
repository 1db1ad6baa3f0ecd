#pragma once

#include "core/errors.h"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscushold {

/// A version of the rules and the key of the object that holds its text.
struct ConfigVersion
{
  uint64_t mVersion = 0; ///< 0 is the empty configuration
  std::string mBodyKey;

  bool operator==(const ConfigVersion&) const = default;
};

/// A proposed change that is neither accepted nor refused yet.
struct PendingChange
{
  ConfigVersion mTarget;    ///< version that the change proposes
  std::string mCoordinator; ///< node id
  std::string mNonce;       ///< distinguishes attempts by the same node

  bool operator==(const PendingChange&) const = default;
};

/// The object in the store that names the accepted configuration.
struct ConfigHead
{
  ConfigVersion mAccepted;
  std::optional<PendingChange> mPending;
  std::string mAcceptedNonce; ///< nonce of the change that was accepted last
};

inline constexpr std::string_view kConfigHeadKey = "state/config/head";
/// Bodies lie outside the watched prefix because they may be large.
inline constexpr std::string_view kConfigBodyPrefix = "config-body/";

Json::Value
VersionToJson(const ConfigVersion& aVersion);

ConfigVersion
VersionFromJson(const Json::Value& aJson);

std::string
SerializeHead(const ConfigHead& aHead);

/// @return the head, or ReplyInvalid
Result<ConfigHead>
ParseHead(std::string_view aText);

} // namespace hibiscushold
