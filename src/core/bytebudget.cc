#include "core/bytebudget.h"

namespace hibiscushold {

namespace {

constexpr size_t kFreeBytes = 131072;

} // namespace

bool
ByteBudget::TryTake(size_t aBytes)
{
  size_t taken = mTaken;
  do {
    if (aBytes > mMax - taken) {
      return false;
    }
  } while (!mTaken.compare_exchange_weak(taken, taken + aBytes));
  return true;
}

BudgetedBytes&
BudgetedBytes::operator=(BudgetedBytes&& aOther) noexcept
{
  Return();
  mBudget = aOther.mBudget;
  mBytes = std::exchange(aOther.mBytes, 0);
  return *this;
}

bool
BudgetedBytes::TryGrowTo(size_t aBytes)
{
  const size_t charged = aBytes > kFreeBytes ? aBytes - kFreeBytes : 0;
  if (charged <= mBytes) {
    return true;
  }
  if (!mBudget->TryTake(charged - mBytes)) {
    return false;
  }
  mBytes = charged;
  return true;
}

void
BudgetedBytes::Return()
{
  if (mBytes > 0) {
    mBudget->Return(std::exchange(mBytes, 0));
  }
}

} // namespace hibiscushold
