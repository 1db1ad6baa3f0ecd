#include "bench/output.h"

#include "cli/table.h"
#include "core/json.h"

#include <algorithm>
#include <cmath>
#include <iostream>

namespace hibiscushold::bench {

namespace {

constexpr size_t kMaxTableWidth = 1000;

/// Rounds to three decimals, so that tables stay narrow.
Json::Value
Rounded(const Json::Value& aValue)
{
  if (aValue.type() != Json::realValue) {
    return aValue;
  }
  const double value = std::round(aValue.asDouble() * 1000) / 1000;
  std::string text = std::to_string(value);
  text.resize(text.size() - 3);
  return text;
}

} // namespace

double
QuantileMillis(std::vector<Duration> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  const double last = static_cast<double>(aValues.size() - 1);
  const auto rank = static_cast<ptrdiff_t>(std::ceil(aQuantile * last));
  std::nth_element(aValues.begin(), aValues.begin() + rank, aValues.end());
  const Duration value = aValues[static_cast<size_t>(rank)];
  return std::chrono::duration<double, std::milli>(value).count();
}

Output::Output(std::string aScenario, uint64_t aSeed, bool aJson)
  : mScenario(std::move(aScenario))
  , mSeed(aSeed)
  , mJson(aJson)
{
}

void
Output::AddRow(const std::string& aKind, Json::Value aRow)
{
  const std::lock_guard guard(mLock);
  if (mJson) {
    aRow["kind"] = aKind;
    aRow["scenario"] = mScenario;
    aRow["seed"] = Json::UInt64(mSeed);
    std::cout << ToJson(aRow) << std::endl;
    return;
  }
  auto it = std::find_if(mTables.begin(), mTables.end(), [&](auto& aTable) {
    return aTable.first == aKind;
  });
  if (it == mTables.end()) {
    it = mTables.insert(it, { aKind, Json::Value(Json::arrayValue) });
  }
  Json::Value row;
  for (const std::string& name : aRow.getMemberNames()) {
    row[name] = Rounded(aRow[name]);
  }
  it->second.append(row);
}

void
Output::PrintTables() const
{
  const std::lock_guard guard(mLock);
  for (const auto& [kind, rows] : mTables) {
    std::cout << kind << "\n";
    PrintTable(std::cout, rows, rows[0].getMemberNames(), kMaxTableWidth);
    std::cout << "\n";
  }
}

} // namespace hibiscushold::bench
