#include "config/coordinator.h"

#include "cluster/registration.h"
#include "config/acceptance.h"
#include "config/agent.h"
#include "core/ids.h"
#include "core/json.h"
#include "core/parallel.h"
#include "observe/events.h"
#include "rules/diff.h"
#include "rules/parse.h"

#include <algorithm>
#include <thread>

namespace hibiscushold {

namespace {

constexpr auto kStageTimeout = milliseconds(1500);
constexpr auto kStatusTimeout = milliseconds(500);
constexpr size_t kMaxParallelCalls = 32;
constexpr auto kApplyTimeout = milliseconds(10000);
constexpr auto kPollInterval = milliseconds(20);

Failure
Conflict(const ConfigHead& aHead, std::string aReason)
{
  return { Error::ConfigConflict,
           std::move(aReason) + ", version " +
             std::to_string(aHead.mAccepted.mVersion) + " is in force",
           "read the current rules with 'hibiscushold config' and edit those" };
}

} // namespace

ConfigCoordinator::ConfigCoordinator(std::string aNodeId,
                                     Platform& aPlatform,
                                     PeerClient& aPeers,
                                     const Clock& aClock,
                                     ChangeLimits aLimits)
  : mNodeId(std::move(aNodeId))
  , mPlatform(aPlatform)
  , mPeers(aPeers)
  , mClock(aClock)
  , mLimits(aLimits)
{
}

Result<AppliedChange>
ConfigCoordinator::Apply(const ApplyRequest& aRequest)
{
  const TimePoint deadline = mClock.Now() + kApplyTimeout;
  BOOST_OUTCOME_TRY(CompileConfig(0, aRequest.mText));
  BOOST_OUTCOME_TRY(proposed, Propose(aRequest));
  Result<std::vector<Member>> members = ListMembers();
  Result<std::vector<std::string>> unacknowledged =
    members ? StageOnMembers(proposed, members.value())
            : Result<std::vector<std::string>>(members.error());
  if (!unacknowledged) {
    Withdraw(proposed);
    LogEvent(EventId::ConfigRefused,
             { { "version",
                 std::to_string(proposed.mValue.mPending->mTarget.mVersion) },
               { "reason", Describe(unacknowledged.error()) } });
    return unacknowledged.error();
  }
  BOOST_OUTCOME_TRY(Accept(proposed));
  const std::vector<std::string>& without = unacknowledged.value();
  std::erase_if(members.value(), [&](const Member& aMember) {
    return std::find(without.begin(), without.end(), aMember.mId) !=
           without.end();
  });
  AppliedChange applied{ proposed.mValue.mPending->mTarget.mVersion,
                         members.value().size(),
                         without };
  BOOST_OUTCOME_TRY(AwaitActive(applied.mVersion, members.value(), deadline));
  return applied;
}

Result<std::vector<Member>>
ConfigCoordinator::ListMembers()
{
  // Read after the pending change was stored: a member that registers later
  // also reads the head later and so sees the change.
  BOOST_OUTCOME_TRY(listing,
                    mPlatform.List(kMemberPrefix, CallPriority::Config));
  std::vector<Member> members;
  for (const Object& it : listing.mObjects) {
    BOOST_OUTCOME_TRY(member, ParseMember(it.mValue));
    members.push_back(member);
  }
  return members;
}

Result<void>
ConfigCoordinator::Remove(const std::string& aMember)
{
  return RemoveMember(mPlatform, aMember);
}

void
ConfigCoordinator::ClearPending(const Versioned<ConfigHead>& aHead)
{
  Withdraw(aHead);
  LogEvent(
    EventId::ConfigRefused,
    { { "version", std::to_string(aHead.mValue.mPending->mTarget.mVersion) },
      { "reason",
        "its coordinator '" + aHead.mValue.mPending->mCoordinator +
          "' did not finish it" } });
}

Result<Versioned<ConfigHead>>
ConfigCoordinator::ReadHead()
{
  Result<Object> object = mPlatform.Get(kConfigHeadKey, CallPriority::Config);
  if (!object && object.error().mError == Error::StoreMissing) {
    return Versioned<ConfigHead>{};
  }
  if (!object) {
    return object.error();
  }
  BOOST_OUTCOME_TRY(head, ParseHead(object.value().mValue));
  return Versioned<ConfigHead>{ object.value().mVersion, head };
}

Result<uint64_t>
ConfigCoordinator::WriteHead(const ConfigHead& aHead, uint64_t aVersion)
{
  const std::string text = SerializeHead(aHead);
  Result<uint64_t> written =
    aVersion == 0
      ? mPlatform.Create(kConfigHeadKey, text, CallPriority::Config)
      : mPlatform.Update(kConfigHeadKey, text, aVersion, CallPriority::Config);
  if (written || written.error().mError != Error::StoreUnavailable) {
    return written;
  }
  // The write may have succeeded although its answer was lost. The nonces in
  // the head show whether it did.
  BOOST_OUTCOME_TRY(head, ReadHead());
  if (SerializeHead(head.mValue) == text) {
    return head.mVersion;
  }
  return written;
}

std::string
ConfigCoordinator::DescribeConflictingEdits(const ApplyRequest& aRequest,
                                            const ConfigHead& aHead)
{
  const ParsedText ours{ ParseRules(aRequest.mText).mRules };
  Result<ParsedText> theirs = ReadRules(aHead.mAccepted);
  if (!theirs) {
    return ", its lines cannot be read (" + Describe(theirs.error()) + ")";
  }
  Result<ParsedText> base = ReadBaseRules(*aRequest.mBaseVersion);
  if (!base) {
    return "\nyour file against the rules in force:\n" +
           DiffRules(theirs.value().mRules, ours.mRules);
  }
  return "\nchanged since then by others:\n" +
         DiffRules(base.value().mRules, theirs.value().mRules) +
         "changed by you:\n" + DiffRules(base.value().mRules, ours.mRules);
}

Result<ConfigCoordinator::ParsedText>
ConfigCoordinator::ReadRules(const ConfigVersion& aVersion)
{
  if (aVersion.mVersion == 0) {
    return ParsedText{};
  }
  BOOST_OUTCOME_TRY(body,
                    mPlatform.Get(aVersion.mBodyKey, CallPriority::Config));
  return ParsedText{ ParseRules(body.mValue).mRules };
}

Result<ConfigCoordinator::ParsedText>
ConfigCoordinator::ReadBaseRules(uint64_t aVersion)
{
  if (aVersion == 0) {
    return ParsedText{};
  }
  const std::string prefix =
    std::string(kConfigBodyPrefix) + std::to_string(aVersion) + "-";
  BOOST_OUTCOME_TRY(listing, mPlatform.List(prefix, CallPriority::Status));
  if (listing.mObjects.size() != 1) {
    // A refused change leaves a body with the same version number, so the base
    // is ambiguous.
    return Failure{ Error::StoreMissing, prefix, "" };
  }
  return ParsedText{ ParseRules(listing.mObjects[0].mValue).mRules };
}

Result<Versioned<ConfigHead>>
ConfigCoordinator::Propose(const ApplyRequest& aRequest)
{
  BOOST_OUTCOME_TRY(head, ReadHead());
  if (aRequest.mBaseVersion &&
      *aRequest.mBaseVersion != head.mValue.mAccepted.mVersion) {
    return Conflict(head.mValue,
                    "the edit started from version " +
                      std::to_string(*aRequest.mBaseVersion) +
                      DescribeConflictingEdits(aRequest, head.mValue));
  }
  if (head.mValue.mPending) {
    return Conflict(head.mValue,
                    "another change is pending at node '" +
                      head.mValue.mPending->mCoordinator + "'");
  }
  PendingChange pending;
  pending.mNonce = NewId();
  pending.mCoordinator = mNodeId;
  pending.mTarget.mVersion = head.mValue.mAccepted.mVersion + 1;
  pending.mTarget.mBodyKey = std::string(kConfigBodyPrefix) +
                             std::to_string(pending.mTarget.mVersion) + "-" +
                             pending.mNonce;
  BOOST_OUTCOME_TRY(mPlatform.Create(
    pending.mTarget.mBodyKey, aRequest.mText, CallPriority::Config));
  BOOST_OUTCOME_TRY(StoreRecord(aRequest, head.mValue, pending));
  head.mValue.mPending = pending;
  Result<uint64_t> written = WriteHead(head.mValue, head.mVersion);
  if (!written && written.error().mError == Error::StoreConflict) {
    return Conflict(head.mValue, "another change came first");
  }
  if (!written) {
    return written.error();
  }
  head.mVersion = written.value();
  return head;
}

Result<void>
ConfigCoordinator::StoreRecord(const ApplyRequest& aRequest,
                               const ConfigHead& aHead,
                               const PendingChange& aPending)
{
  BOOST_OUTCOME_TRY(old, ReadRules(aHead.mAccepted));
  HistoryEntry entry;
  entry.mTarget = aPending.mTarget;
  entry.mBase = aHead.mAccepted;
  entry.mNode = mNodeId;
  entry.mTimeMillis = mClock.WallMillis();
  entry.mRequesters =
    FindChangeRequesters(old.mRules, ParseRules(aRequest.mText).mRules);
  return StoreHistoryEntry(mPlatform, entry);
}

Result<std::vector<HistoryEntry>>
ConfigCoordinator::History(size_t aMaxEntries)
{
  BOOST_OUTCOME_TRY(head, ReadHead());
  return ReadHistory(mPlatform, head.mValue, aMaxEntries);
}

Result<std::vector<std::string>>
ConfigCoordinator::StageOnMembers(const Versioned<ConfigHead>& aProposed,
                                  const std::vector<Member>& aMembers)
{
  AcceptanceState state;
  state.mProposedAt = mClock.Now();
  state.mStageDeadline = state.mProposedAt + kStageTimeout;
  state.mMinMembers = mLimits.mMinMembers;
  state.mMaxHeadAge = mLimits.mMaxHeadAge;
  state.mAcks.resize(aMembers.size());
  Json::Value params;
  params["head"] = SerializeHead(aProposed.mValue);
  params["head_version"] = Json::UInt64(aProposed.mVersion);
  ForEachInParallel(aMembers.size(), kMaxParallelCalls, [&](size_t aIndex) {
    const Member& member = aMembers[aIndex];
    MemberAck& ack = state.mAcks[aIndex];
    ack.mMember = member.mId;
    Result<Json::Value> answer = mPeers.Call(
      member.mPeerAddress, "config.stage", params, state.mStageDeadline);
    if (answer) {
      ack.mAckedAt = mClock.Now();
      return;
    }
    ack.mRefused = answer.error().mError == Error::ConfigInvalid;
    ack.mReason = Describe(answer.error());
  });
  while (true) {
    AcceptanceDecision decision = DecideAcceptance(state, mClock.Now());
    if (decision.mVerdict == Acceptance::Accept) {
      return std::move(decision.mUnacknowledged);
    }
    if (decision.mVerdict == Acceptance::Refuse) {
      return Failure{ Error::ConfigBlocked,
                      "these members did not stage the change:" +
                        DescribeMissingAcks(state.mAcks),
                      "bring them back, or take those that are gone off "
                      "the roll with 'hibiscushold remove', then apply again" };
    }
    std::this_thread::sleep_for(TimeLeft(decision.mWaitUntil, mClock.Now()) +
                                kPollInterval);
  }
}

Result<void>
ConfigCoordinator::Accept(const Versioned<ConfigHead>& aProposed)
{
  ConfigHead head = aProposed.mValue;
  head.mAccepted = head.mPending->mTarget;
  head.mAcceptedNonce = head.mPending->mNonce;
  head.mPending.reset();
  Result<uint64_t> written = WriteHead(head, aProposed.mVersion);
  if (written) {
    return boost::outcome_v2::success();
  }
  if (written.error().mError == Error::StoreConflict) {
    return Conflict(aProposed.mValue, "the change was withdrawn by another");
  }
  return Failure{ Error::ConfigOutcomeUnknown,
                  Describe(written.error()),
                  "ask 'hibiscushold config' once the store is back" };
}

void
ConfigCoordinator::Withdraw(const Versioned<ConfigHead>& aProposed)
{
  ConfigHead head = aProposed.mValue;
  head.mPending.reset();
  Result<uint64_t> written = WriteHead(head, aProposed.mVersion);
  if (!written) {
    LogEvent(
      EventId::ConfigRefused,
      { { "reason", "withdrawal failed: " + Describe(written.error()) } });
  }
}

Result<void>
ConfigCoordinator::AwaitActive(uint64_t aVersion,
                               const std::vector<Member>& aMembers,
                               TimePoint aDeadline)
{
  std::vector<char> confirmed(aMembers.size(), 0);
  ForEachInParallel(aMembers.size(), kMaxParallelCalls, [&](size_t aIndex) {
    while (confirmed[aIndex] == 0 && mClock.Now() < aDeadline) {
      const TimePoint limit = mClock.Now() + kStatusTimeout;
      Result<Json::Value> status = mPeers.Call(aMembers[aIndex].mPeerAddress,
                                               "node.status",
                                               Json::objectValue,
                                               std::min(limit, aDeadline));
      if (status && NumberAt(status.value(), "config_version") >= aVersion) {
        confirmed[aIndex] = 1;
      } else {
        std::this_thread::sleep_for(kPollInterval);
      }
    }
  });
  std::string missing;
  for (size_t i = 0; i < aMembers.size(); ++i) {
    missing += confirmed[i] != 0 ? "" : " '" + aMembers[i].mId + "'";
  }
  if (!missing.empty()) {
    return Failure{ Error::ConfigOutcomeUnknown,
                    "version " + std::to_string(aVersion) +
                      " is accepted, but these members have not shown that "
                      "they apply it:" +
                      missing,
                    "look at 'hibiscushold members'" };
  }
  return boost::outcome_v2::success();
}

} // namespace hibiscushold
