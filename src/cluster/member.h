#pragma once

#include "core/errors.h"
#include "core/settings.h"

#include <string>
#include <string_view>

namespace hibiscushold {

/// A node as registered in the store.
struct Member
{
  std::string mId;
  std::string mIncarnation;
  std::string mZone;
  Endpoint mCallerAddress;
  Endpoint mPeerAddress;
};

/// Key prefix of the registered members; the member id follows.
inline constexpr std::string_view kMemberPrefix = "state/members/";

std::string
SerializeMember(const Member& aMember);

/// @return the member, or ReplyInvalid
Result<Member>
ParseMember(std::string_view aText);

} // namespace hibiscushold
