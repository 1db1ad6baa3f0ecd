#pragma once

#include "core/clock.h"

#include <json/value.h>

#include <mutex>
#include <string>
#include <vector>

namespace hibiscushold::bench {

/// @param aQuantile 0 to 1
/// @return the quantile of the values in milliseconds, or 0 without values
double
QuantileMillis(std::vector<Duration> aValues, double aQuantile);

/// Prints the rows of a scenario, as tables or as JSON lines. Thread-safe.
class Output
{
public:
  Output(std::string aScenario, uint64_t aSeed, bool aJson);

  /// Adds a row; JSON lines are printed at once.
  /// @param aKind name of the table; its rows have the same members
  void AddRow(const std::string& aKind, Json::Value aRow);

  /// Prints the tables of the rows added so far.
  void PrintTables() const;

private:
  const std::string mScenario;
  const uint64_t mSeed;
  const bool mJson;
  mutable std::mutex mLock;
  std::vector<std::pair<std::string, Json::Value>> mTables;
};

} // namespace hibiscushold::bench
