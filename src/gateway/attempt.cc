#include "gateway/attempt.h"

namespace hibiscushold {

bool
Attempt::OnHead(int aStatus, const std::vector<HttpField>& aFields)
{
  ReplaceOuter();
  return mOwner.OnHead(aStatus, aFields);
}

bool
Attempt::OnEvents(std::string_view aEvents, uint64_t aLastId)
{
  return mOwner.OnEvents(aEvents, aLastId);
}

bool
Attempt::IsCallerDisconnected()
{
  return mOwner.IsCallerDisconnected();
}

bool
Attempt::OnStall(WaitingTransfer& aExchange)
{
  return RunInner(aExchange, [this] { return mOwner.TryTakeover(*this); });
}

} // namespace hibiscushold
