#pragma once

#include "core/clock.h"
#include "core/errors.h"
#include "core/tls.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace hibiscushold {

/// An address to listen on or connect to.
struct Endpoint
{
  std::string mHost;
  uint16_t mPort = 0;

  bool operator==(const Endpoint&) const = default;
  bool operator<(const Endpoint& aOther) const
  {
    return std::tie(mHost, mPort) < std::tie(aOther.mHost, aOther.mPort);
  }
};

/// @return "HOST:PORT"
std::string
ToString(const Endpoint& aEndpoint);

/// @param aText "HOST:PORT"
/// @return the endpoint, or SettingInvalid
Result<Endpoint>
ParseEndpoint(std::string_view aText);

/// The values of the settings file.
struct Settings
{
  std::string mPath; ///< the settings file
  std::string mNodeId;
  std::string mZone;
  Endpoint mCallerListen;
  Endpoint mPeerListen;
  std::string mPeerToken;     ///< one or more tokens, see core/tokenset.h
  std::string mOperatorToken; ///< the same for operators
  Endpoint mPlatform;
  TlsFiles mTls;
  bool mTlsForCallers = true;
  /// Whether the peer port may be without TLS on a non-loopback address.
  bool mAllowPlaintextPeers = false;
  std::string mLogLevel = "info";
  bool mLogJson = false;
  uint32_t mMaxConnections = 512;
  uint32_t mMaxBodyBytes = 4000000;
  uint32_t mMaxHeaderFields = 100;
  milliseconds mBodyTimeout{ 10000 }; ///< time for a caller to send its body
  uint32_t mMinMembers = 2;
  uint32_t mStoreCallsPerSecond = 50; ///< rate of the call budget
  /// Wait between the start of a shutdown and draining, in which the other
  /// nodes learn that this one has deregistered.
  milliseconds mShutdownDelay{ 2000 };
  milliseconds mMaxConfigAge{ 5000 }; ///< maximum age of the last config check
  milliseconds mMaxProbeAge{ 3000 };  ///< maximum age of probe results
  milliseconds mLeaseDuration{ 3000 };
  /// Maximum wait for the start of a response.
  milliseconds mFirstByteTimeout{ 10000 };
  /// Maximum wait between the events of a stream.
  milliseconds mMaxEventGap{ 5000 };
  milliseconds mClaimRetention{ 86400000 }; ///< how long claims are kept
};

inline constexpr size_t kMaxSettingsBytes = 65536;

/// Reads and validates a settings file.
/// @param aPath the INI file
/// @return the settings, or the first error with file and line
Result<Settings>
LoadSettings(const std::string& aPath);

/// Parses and validates settings.
/// @param aPath file name for error messages
/// @param aText contents of the file
/// @return the settings, or the first error with file and line
Result<Settings>
ParseSettings(const std::string& aPath, std::string_view aText);

} // namespace hibiscushold
