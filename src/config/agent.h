#pragma once

#include "cluster/view.h"
#include "config/freshness.h"
#include "config/head.h"
#include "core/errors.h"
#include "rules/rules.h"
#include "store/platform.h"

#include <map>
#include <memory>
#include <mutex>

namespace hibiscushold {

/// The configuration that a member applies to requests.
struct ActiveConfig
{
  uint64_t mVersion = 0;
  std::string mText;
  Rules mRules;
};

using ActiveConfigPtr = std::shared_ptr<const ActiveConfig>;

/// Parses the text of a configuration.
/// @param aVersion version to give the configuration
/// @param aText the rules
/// @return the configuration, or ConfigInvalid with all faults
Result<ActiveConfigPtr>
CompileConfig(uint64_t aVersion, const std::string& aText);

/// Stages the configuration that a coordinator proposes and applies the one
/// that the head object names as accepted. The active version never decreases.
/// Thread-safe.
class ConfigAgent
{
public:
  explicit ConfigAgent(Platform& aPlatform);

  /// Fetches and compiles a proposed version, so that it can be applied without
  /// delay. Replaces an earlier staged version.
  /// @return the store's failure, or ConfigInvalid
  Result<void> Stage(const ConfigVersion& aTarget);

  /// Applies the accepted version of a head. A version that is not higher than
  /// the active one is ignored.
  /// @return the store's failure, or ConfigInvalid
  Result<void> ApplyAccepted(const ConfigHead& aHead);

  /// Merges a read of the head object, by this node or by another member.
  void MergeHead(const HeadSnapshot& aSnapshot);

  /// @return the latest known head object
  HeadSnapshot LatestHead() const;

  /// @return the active configuration, never null
  ActiveConfigPtr Active() const;

  /// The state that decides whether and how a new request is handled.
  struct ConfigState
  {
    ActiveConfigPtr mActive; ///< never null
    /// Staged version that may become active, or null.
    ActiveConfigPtr mNextActive;
    HeadSnapshot mHeadSnapshot;
  };

  /// @return a consistent snapshot of the configurations and the known head
  ConfigState State() const;

private:
  Result<ActiveConfigPtr> Fetch(const ConfigVersion& aTarget);
  ActiveConfigPtr FindStaged(const ConfigVersion& aTarget) const;

  Platform& mPlatform;
  std::mutex mStagingLock;
  mutable std::mutex mLock;
  ActiveConfigPtr mActive;
  HeadSnapshot mHeadSnapshot;
  std::map<std::string, ActiveConfigPtr> mStaged; ///< by body key
};

} // namespace hibiscushold
