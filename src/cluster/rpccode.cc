#include "cluster/rpccode.h"

namespace hibiscushold {

int
ToRpcCode(Error aError)
{
  return kFirstRpcCode - static_cast<int>(aError);
}

std::optional<Error>
ErrorFromRpcCode(int aCode)
{
  const int value = kFirstRpcCode - aCode;
  const bool inRange = value > 0 && value <= static_cast<int>(kLastError);
  return inRange ? std::optional(static_cast<Error>(value)) : std::nullopt;
}

} // namespace hibiscushold
