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
  const int last = kFirstRpcCode - static_cast<int>(kLastError);
  if (aCode >= kFirstRpcCode || aCode < last) {
    return std::nullopt;
  }
  return static_cast<Error>(kFirstRpcCode - aCode);
}

} // namespace hibiscushold
