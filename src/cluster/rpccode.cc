#include "cluster/rpccode.h"

namespace hibiscushold {

int
RpcCodeOf(Error aError)
{
  return kFirstRpcCode - static_cast<int>(aError);
}

std::optional<Error>
ErrorOfRpcCode(int aCode)
{
  const int value = kFirstRpcCode - aCode;
  const bool inRange = value > 0 && value <= static_cast<int>(kLastError);
  return inRange ? std::optional(static_cast<Error>(value)) : std::nullopt;
}

} // namespace hibiscushold
