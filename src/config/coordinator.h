#pragma once

#include "cluster/member.h"
#include "cluster/peerclient.h"
#include "cluster/view.h"
#include "config/head.h"
#include "config/history.h"
#include "rules/rules.h"
#include "store/platform.h"

#include <optional>
#include <string>
#include <vector>

namespace hibiscushold {

/// A configuration change requested by an operator.
struct ApplyRequest
{
  std::string mText;
  std::optional<uint64_t> mBaseVersion; ///< version that the operator edited
};

/// A change that is accepted and applied.
struct AppliedChange
{
  uint64_t mVersion = 0;
  size_t mConfirmedMembers = 0; ///< members that confirmed it as active
  /// Members without an ack; they admit no requests.
  std::vector<std::string> mUnacknowledged;
};

/// Limits for accepting a change without the acks of all members, see
/// AcceptanceState.
struct ChangeLimits
{
  size_t mMinMembers = 2;
  Duration mMaxHeadAge = seconds(5);
};

/// Applies a configuration change on all registered members or on none. Any
/// node can coordinate; conditional writes of the head object decide between
/// concurrent coordinators.
class ConfigCoordinator
{
public:
  ConfigCoordinator(std::string aNodeId,
                    Platform& aPlatform,
                    PeerClient& aPeers,
                    const Clock& aClock,
                    ChangeLimits aLimits);

  /// Proposes a change, stages it on the members and has it accepted.
  /// @param aRequest the change
  /// @return the applied change; ConfigInvalid, ConfigConflict or
  ///         ConfigBlocked when nothing changed; ConfigOutcomeUnknown when
  ///         the store gave no answer or a member has not confirmed in time
  Result<AppliedChange> Apply(const ApplyRequest& aRequest);

  /// Removes the registration of an unresponsive member, so that it no longer
  /// blocks changes.
  /// @return MemberUnknown when it is not registered, or the store's failure
  Result<void> Remove(const std::string& aMember);

  /// @param aMaxEntries maximum number of changes
  /// @return the latest accepted changes, newest first
  Result<std::vector<HistoryEntry>> History(size_t aMaxEntries);

  /// Clears a pending change that its coordinator did not finish. Safe at any
  /// time: if the coordinator is still running, its write that accepts the
  /// change fails with a conflict.
  void ClearPending(const Versioned<ConfigHead>& aHead);

private:
  struct ParsedText
  {
    Rules mRules;
  };

  Result<std::vector<Member>> ListMembers();
  std::string DescribeConflictingEdits(const ApplyRequest& aRequest,
                                       const ConfigHead& aHead);
  Result<ParsedText> ReadRules(const ConfigVersion& aVersion);
  Result<ParsedText> ReadBaseRules(uint64_t aVersion);
  Result<Versioned<ConfigHead>> ReadHead();
  Result<uint64_t> WriteHead(const ConfigHead& aHead, uint64_t aVersion);
  Result<void> StoreRecord(const ApplyRequest& aRequest,
                           const ConfigHead& aHead,
                           const PendingChange& aPending);
  Result<Versioned<ConfigHead>> Propose(const ApplyRequest& aRequest);
  /// @return the members without an ack that may be skipped
  Result<std::vector<std::string>> StageOnMembers(
    const Versioned<ConfigHead>& aProposed,
    const std::vector<Member>& aMembers);
  Result<void> AwaitActive(uint64_t aVersion,
                           const std::vector<Member>& aMembers,
                           TimePoint aDeadline);
  Result<void> Accept(const Versioned<ConfigHead>& aProposed);
  void Withdraw(const Versioned<ConfigHead>& aProposed);

  const std::string mNodeId;
  Platform& mPlatform;
  PeerClient& mPeers;
  const Clock& mClock;
  const ChangeLimits mLimits;
};

} // namespace hibiscushold
