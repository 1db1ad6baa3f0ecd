#include "core/bytebudget.h"

#include <algorithm>

namespace hibiscushold {

namespace {

constexpr size_t kFreeBytes = 131072;

size_t
ChargeFor(size_t aBytes)
{
  return aBytes > kFreeBytes ? aBytes - kFreeBytes : 0;
}

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
  const size_t charged = ChargeFor(aBytes);
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
BudgetedBytes::ShrinkTo(size_t aBytes)
{
  const size_t charged = ChargeFor(aBytes);
  if (charged < mBytes) {
    mBudget->Return(mBytes - charged);
    mBytes = charged;
  }
}

void
BudgetedBytes::Return()
{
  if (mBytes > 0) {
    mBudget->Return(std::exchange(mBytes, 0));
  }
}

bool
AppendWithin(BudgetedBytes& aHeld,
             std::string& aBuffer,
             std::string_view aBytes)
{
  const size_t needed = aBuffer.size() + aBytes.size();
  if (needed > aBuffer.capacity()) {
    const size_t grown = std::max(needed, 2 * aBuffer.capacity());
    // The content is copied, so that both blocks are in use for a moment.
    if (!aHeld.TryGrowTo(aBuffer.capacity() + grown)) {
      return false;
    }
    aBuffer.reserve(grown);
    aHeld.ShrinkTo(aBuffer.capacity());
  }
  aBuffer.append(aBytes);
  return true;
}

} // namespace hibiscushold
