#include "core/nestedattempt.h"

namespace hibiscushold {

NestedAttempt::NestedAttempt(NestedAttempt* aOuter)
  : mOuter(aOuter)
{
}

bool
NestedAttempt::HasOuterProgress() const
{
  for (const NestedAttempt* it = mOuter; it != nullptr; it = it->mOuter) {
    if (!it->mReplaced && it->mWaiting->HasProgress()) {
      return true;
    }
  }
  return false;
}

void
NestedAttempt::ReplaceOuter()
{
  for (NestedAttempt* it = mOuter; it != nullptr; it = it->mOuter) {
    if (!it->mReplaced) {
      it->mReplaced = true;
      it->mWaiting->Close();
      it->OnReplaced();
    }
  }
}

bool
NestedAttempt::RunInner(WaitingTransfer& aTransfer,
                        const std::function<bool()>& aRun)
{
  mWaiting = &aTransfer;
  const bool result = aRun();
  mWaiting = nullptr;
  return result;
}

} // namespace hibiscushold
