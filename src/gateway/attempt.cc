#include "gateway/attempt.h"

namespace hibiscushold {

bool
Attempt::OnHead(int aStatus, const std::vector<HttpField>& aFields)
{
  TakeOver();
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
Attempt::OnStall(WaitingExchange& aExchange)
{
  mWaiting = &aExchange;
  const bool takenOver = mOwner.TryTakeover(*this);
  mWaiting = nullptr;
  if (takenOver) {
    aExchange.Close();
  }
  return takenOver;
}

bool
Attempt::IsSuperseded()
{
  for (const Attempt* it = mOuter; it != nullptr; it = it->mOuter) {
    if (!it->mReplaced && it->mWaiting->HasProgress()) {
      return true;
    }
  }
  return false;
}

void
Attempt::TakeOver()
{
  for (Attempt* it = mOuter; it != nullptr; it = it->mOuter) {
    if (!it->mReplaced) {
      it->mReplaced = true;
      it->mWaiting->Close();
    }
  }
}

} // namespace hibiscushold
