#pragma once

#include "core/clock.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>
#include <string_view>

namespace hibiscushold {

/// The process's counters and gauges. Safe for several threads.
class Metrics
{
public:
  Metrics();

  /// Counts one refusal by its stable reason name.
  void CountRefusal(std::string_view aReason);
  /// Counts one request that admission did not let in, by reason.
  void CountDenial(std::string_view aReason);
  /// Counts one ejection of a target by its reason, "failed" or "slow".
  void CountEjection(std::string_view aReason);
  /// Counts one retry by its stable reason name.
  void CountRetry(std::string_view aReason);
  /// Counts one answered request by HTTP status.
  void CountAnswer(int aStatus);
  /// Counts one call to the platform's store by kind.
  void CountStoreCall(std::string_view aKind);
  /// Counts one event of following other nodes instead of the store, by kind.
  void CountRelay(std::string_view aKind);
  /// Counts one order to an engine by its outcome.
  void CountOrder(std::string_view aOutcome);
  /// Notes the time that a request took up to a point of its answer.
  /// @param aPoint "first" for the first byte, "last" for the end
  void ObserveLatency(std::string_view aPoint, Duration aTime);
  /// Counts bytes of calls that other nodes made to this one.
  void CountServedBytes(size_t aBytes);
  /// Sets a gauge without labels.
  void SetGauge(std::string_view aName, double aValue);

  /// @return all metrics in the Prometheus text format
  std::string Render() const;

private:
  prometheus::Registry mRegistry;
  prometheus::Family<prometheus::Counter>& mRefusals;
  prometheus::Family<prometheus::Counter>& mDenials;
  prometheus::Family<prometheus::Counter>& mEjections;
  prometheus::Family<prometheus::Counter>& mRetries;
  prometheus::Family<prometheus::Counter>& mAnswers;
  prometheus::Family<prometheus::Counter>& mStoreCalls;
  prometheus::Family<prometheus::Counter>& mRelays;
  prometheus::Family<prometheus::Counter>& mOrders;
  prometheus::Counter& mServedBytes;
  prometheus::Family<prometheus::Gauge>& mGauges;
  prometheus::Family<prometheus::Histogram>& mLatencies;
};

} // namespace hibiscushold
