#pragma once

#include "cluster/member.h"
#include "store/platform.h"

namespace hibiscushold {

/// Stores the registration of a member. It replaces that of an earlier
/// incarnation.
Result<void>
RegisterMember(Platform& aPlatform, const Member& aMember);

/// Deletes the registration of a member, unless another incarnation has
/// replaced it.
Result<void>
DeregisterMember(Platform& aPlatform, const Member& aMember);

/// Deletes the registration of a member, whatever its incarnation. For
/// operators who have made sure that its process has ended.
/// @return MemberUnknown when it is not registered, or the store's failure
Result<void>
RemoveMember(Platform& aPlatform, const std::string& aId);

} // namespace hibiscushold
