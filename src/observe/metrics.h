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

/// The Prometheus metrics of the process. Thread-safe.
class Metrics
{
public:
  Metrics();

  /// Counts a refused request.
  /// @param aReason label; stable, as the other labels are
  void CountRefusal(std::string_view aReason);
  /// Counts a request that admission control rejected.
  void CountDenial(std::string_view aReason);
  /// Counts an ejection of a target.
  /// @param aReason "failed" or "slow"
  void CountEjection(std::string_view aReason);
  /// Counts a retried attempt.
  void CountRetry(std::string_view aReason);
  /// Counts a response that the node ended by resetting the connection.
  void CountCut(std::string_view aReason);
  /// Counts a request that was answered with an HTTP status.
  void CountAnswer(int aStatus);
  /// Counts a call to the platform.
  /// @param aKind the operation, or how it ended: "throttled" or "failed"
  /// @param aObjects the kind of objects, if known
  void CountStoreCall(std::string_view aKind, std::string_view aObjects = "");
  /// Adds the bytes of a datagram to another node.
  /// @param aTo "parent" or "child"
  void CountReportBytes(std::string_view aKind,
                        std::string_view aTo,
                        size_t aBytes);
  /// Counts an event of reading from or reporting to other nodes instead of
  /// the store.
  void CountRelayEvent(std::string_view aKind);
  /// Counts an order that was sent to an engine.
  void CountOrder(std::string_view aOutcome);
  /// Counts a call of a task, or the handling of a request, that ended with an
  /// exception.
  void CountFailure(std::string_view aTask);
  /// Records the time from the arrival of a request to a point of its response.
  /// @param aPoint "first" for the first byte, "last" for the end
  void ObserveLatency(std::string_view aPoint, Duration aTime);
  /// Adds request and reply bytes of calls from other nodes.
  void CountServedBytes(size_t aBytes);
  /// Sets the value of hibiscushold_state with the label aName.
  void SetGauge(std::string_view aName, double aValue);

  /// @return all metrics in the Prometheus text format
  std::string Render() const;

private:
  prometheus::Registry mRegistry;
  prometheus::Family<prometheus::Counter>& mRefusals;
  prometheus::Family<prometheus::Counter>& mDenials;
  prometheus::Family<prometheus::Counter>& mEjections;
  prometheus::Family<prometheus::Counter>& mRetries;
  prometheus::Family<prometheus::Counter>& mCuts;
  prometheus::Family<prometheus::Counter>& mAnswers;
  prometheus::Family<prometheus::Counter>& mStoreCalls;
  prometheus::Family<prometheus::Counter>& mRelays;
  prometheus::Family<prometheus::Counter>& mOrders;
  prometheus::Family<prometheus::Counter>& mFailures;
  prometheus::Family<prometheus::Counter>& mReportBytes;
  prometheus::Counter& mServedBytes;
  prometheus::Family<prometheus::Gauge>& mGauges;
  prometheus::Family<prometheus::Histogram>& mLatencies;
};

} // namespace hibiscushold
