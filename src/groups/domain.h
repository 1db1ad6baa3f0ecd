#pragma once

#include "core/errors.h"
#include "core/settings.h"

#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// One VM of a group.
struct GroupMember
{
  std::string mVm;
  std::string mIncarnation;
  Endpoint mAddress;

  bool operator==(const GroupMember&) const = default;
};

enum class GroupPhase
{
  Forming,  ///< members are being assigned and load the model
  Serving,  ///< every member has reported that it is ready
  Draining, ///< accepts no new requests; running ones complete
  Retiring, ///< members are being released
};

/// A replica: VMs of one fabric domain that serve one model together. The
/// member at index i has rank i; rank 0 receives the requests.
struct Group
{
  std::string mId;
  std::string mRule;
  std::string mModel;
  uint64_t mGeneration = 0;
  GroupPhase mPhase = GroupPhase::Forming;
  std::vector<GroupMember> mMembers;

  bool operator==(const Group&) const = default;
};

/// All groups of one fabric domain. They are stored as a single object, so
/// that one conditional update can ensure that no VM is in two groups.
struct Domain
{
  std::string mName;
  uint64_t mEpoch = 0; ///< lease epoch of the last holder
  /// Fencing number of the orders that follow from this state. It increases
  /// with each write, so that engines refuse orders of an earlier state.
  uint64_t mOrderNumber = 0;
  std::vector<Group> mGroups;

  bool operator==(const Domain&) const = default;
};

inline constexpr std::string_view kDomainPrefix = "state/domains/";

std::string
SerializeDomain(const Domain& aDomain);

/// @return the domain, or ReplyInvalid when the text is malformed
Result<Domain>
ParseDomain(std::string_view aText);

/// @param aWallMillis milliseconds since the Unix epoch; a lower bound of the
///        result, so that numbers still increase when the object was lost and
///        created again
/// @return the order number of the state that follows aDomain
uint64_t
NextOrderNumber(const Domain& aDomain, int64_t aWallMillis);

/// @return "forming", "serving", "draining" or "retiring"
std::string
PhaseName(GroupPhase aPhase);

} // namespace hibiscushold
