#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace hibiscushold {

/// Bounds the bytes that all users of a budget keep in memory. Thread-safe.
class ByteBudget
{
public:
  /// @param aMax bytes that may be taken at the same time
  explicit ByteBudget(size_t aMax)
    : mMax(aMax)
  {
  }

  /// Takes bytes from the budget.
  /// @return false if too few are left; then none are taken
  bool TryTake(size_t aBytes);
  void Return(size_t aBytes) { mTaken -= aBytes; }

  /// @return the bytes that are taken
  size_t Taken() const { return mTaken; }

private:
  const size_t mMax;
  std::atomic<size_t> mTaken{ 0 };
};

/// Bytes taken from a budget, returned at the end of its lifetime.
class BudgetedBytes
{
public:
  BudgetedBytes() = default;
  explicit BudgetedBytes(ByteBudget& aBudget)
    : mBudget(&aBudget)
  {
  }
  ~BudgetedBytes() { Return(); }

  BudgetedBytes(BudgetedBytes&& aOther) noexcept
    : mBudget(aOther.mBudget)
    , mBytes(std::exchange(aOther.mBytes, 0))
  {
  }
  BudgetedBytes& operator=(BudgetedBytes&& aOther) noexcept;

  /// Takes bytes until aBytes are taken. Small buffers are free, so that only
  /// large ones depend on each other.
  /// @return false if the budget has too few left
  bool TryGrowTo(size_t aBytes);

  /// Returns what is taken beyond aBytes.
  void ShrinkTo(size_t aBytes);

private:
  void Return();

  ByteBudget* mBudget = nullptr;
  size_t mBytes = 0;
};

/// Appends to a buffer whose memory is taken from a budget before it is used.
/// @param aHeld taken for the buffer
/// @return false if the budget has too few bytes left; then nothing is appended
bool
AppendWithin(BudgetedBytes& aHeld,
             std::string& aBuffer,
             std::string_view aBytes);

} // namespace hibiscushold
