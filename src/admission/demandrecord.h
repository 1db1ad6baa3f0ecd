#pragma once

#include "admission/room.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscushold {

/// An amount per time that fades with the time since it was added.
struct FadingSum
{
  double mValue = 0;
  TimePoint mUpdatedAt;
};

/// @param aHalved the time in which an amount fades to a half
void
AddTo(FadingSum& aSum, double aAmount, TimePoint aNow, Duration aHalved);

/// @return the amount that is left at aNow
double
ValueOf(const FadingSum& aSum, TimePoint aNow, Duration aHalved);

/// What this node has seen lately of the requests for each model, from which it
/// derives whom a request competes with. Thread-safe.
class DemandRecord
{
public:
  /// Records a request that has arrived.
  /// @param aModel the model, or the service of a request without one
  /// @param aTokens of its prompt, as a measure of its work
  void Add(std::string_view aModel,
           std::string_view aAccount,
           const Urgency& aUrgency,
           milliseconds aLatencyTarget,
           uint32_t aTokens,
           TimePoint aNow);

  /// @return the shortest latency target of the more urgent requests that were
  ///         seen lately, none if there were none
  std::optional<milliseconds> ShortestTargetAbove(std::string_view aModel,
                                                  const Urgency& aUrgency,
                                                  TimePoint aNow) const;

  /// Compares an account's share of the model's recent work with its usual
  /// share, as accounts of all sizes have a right to theirs.
  /// @return whether it takes much more than it usually does
  bool IsAboveShare(std::string_view aModel,
                    std::string_view aAccount,
                    TimePoint aNow) const;

  /// Records how long a first event took, and what was forecast for it.
  void RecordFirstEvent(std::string_view aModel,
                        double aMillis,
                        double aForecastMillis);

  /// @return the usual wait for a first event at a target with little load, in
  ///         milliseconds, of which the forecast knows only a part
  double LeastFirstEvent(std::string_view aModel) const;

private:
  struct Class
  {
    milliseconds mLatencyTarget{ 0 };
    TimePoint mSeenAt;
  };

  struct Work
  {
    FadingSum mRecent;
    FadingSum mUsual;
  };

  struct Model
  {
    std::map<Urgency, Class> mClasses;
    std::map<std::string, Work, std::less<>> mAccounts;
    Work mAll;
    double mLeastMillis = 0; ///< see LeastFirstEvent
    size_t mFirstEvents = 0; ///< that mLeastMillis is derived from
  };

  mutable std::mutex mLock; ///< guards mModels
  std::map<std::string, Model, std::less<>> mModels;
};

} // namespace hibiscushold
