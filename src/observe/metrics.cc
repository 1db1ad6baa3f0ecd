#include "observe/metrics.h"

#include <prometheus/text_serializer.h>

namespace hibiscushold {

namespace {

/// Upper bounds in seconds. 0.41 s is the latency objective for the first
/// token.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets{
  0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.41, 0.8, 1.6, 3, 6, 12, 30
};

prometheus::Family<prometheus::Counter>&
AddCounterFamily(prometheus::Registry& aRegistry,
                 const char* aName,
                 const char* aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

} // namespace

Metrics::Metrics()
  : mRefusals(AddCounterFamily(mRegistry,
                               "hibiscushold_refusals_total",
                               "Requests refused, by reason"))
  , mDenials(
      AddCounterFamily(mRegistry,
                       "hibiscushold_denials_total",
                       "Requests that admission did not let in, by reason"))
  , mEjections(AddCounterFamily(mRegistry,
                                "hibiscushold_ejections_total",
                                "Targets ejected for a time, by reason"))
  , mRetries(AddCounterFamily(mRegistry,
                              "hibiscushold_retries_total",
                              "Attempts repeated, by reason"))
  , mCuts(AddCounterFamily(mRegistry,
                           "hibiscushold_cuts_total",
                           "Responses ended by a reset, by reason"))
  , mAnswers(AddCounterFamily(mRegistry,
                              "hibiscushold_answers_total",
                              "Requests answered, by status"))
  , mStoreCalls(AddCounterFamily(mRegistry,
                                 "hibiscushold_store_calls_total",
                                 "Calls to the platform's store, by kind and "
                                 "objects"))
  , mRelays(AddCounterFamily(mRegistry,
                             "hibiscushold_relay_events_total",
                             "Events of following other nodes, by kind"))
  , mOrders(AddCounterFamily(mRegistry,
                             "hibiscushold_orders_total",
                             "Orders to engines, by outcome"))
  , mFailures(AddCounterFamily(mRegistry,
                               "hibiscushold_failures_total",
                               "Calls ended by an exception, by task"))
  , mReportBytes(AddCounterFamily(mRegistry,
                                  "hibiscushold_report_bytes_total",
                                  "Bytes of datagrams to other nodes, by kind "
                                  "and receiver"))
  , mServedBytes(AddCounterFamily(mRegistry,
                                  "hibiscushold_control_bytes_served_total",
                                  "Bytes of calls that other nodes made")
                   .Add({}))
  , mGauges(prometheus::BuildGauge()
              .Name("hibiscushold_state")
              .Help("State of the node, by name")
              .Register(mRegistry))
  , mLatencies(prometheus::BuildHistogram()
                 .Name("hibiscushold_latency_seconds")
                 .Help("Time from a request's arrival to a point of its answer")
                 .Register(mRegistry))
{
}

void
Metrics::CountRefusal(std::string_view aReason)
{
  mRefusals.Add({ { "reason", std::string(aReason) } }).Increment();
}

void
Metrics::CountDenial(std::string_view aReason)
{
  mDenials.Add({ { "reason", std::string(aReason) } }).Increment();
}

void
Metrics::CountEjection(std::string_view aReason)
{
  mEjections.Add({ { "reason", std::string(aReason) } }).Increment();
}

void
Metrics::CountRetry(std::string_view aReason)
{
  mRetries.Add({ { "reason", std::string(aReason) } }).Increment();
}

void
Metrics::CountCut(std::string_view aReason)
{
  mCuts.Add({ { "reason", std::string(aReason) } }).Increment();
}

void
Metrics::CountAnswer(int aStatus)
{
  mAnswers.Add({ { "status", std::to_string(aStatus) } }).Increment();
}

void
Metrics::CountStoreCall(std::string_view aKind, std::string_view aObjects)
{
  mStoreCalls
    .Add(
      { { "kind", std::string(aKind) }, { "objects", std::string(aObjects) } })
    .Increment();
}

void
Metrics::CountReportBytes(std::string_view aKind,
                          std::string_view aTo,
                          size_t aBytes)
{
  mReportBytes
    .Add({ { "kind", std::string(aKind) }, { "to", std::string(aTo) } })
    .Increment(static_cast<double>(aBytes));
}

void
Metrics::CountRelayEvent(std::string_view aKind)
{
  mRelays.Add({ { "kind", std::string(aKind) } }).Increment();
}

void
Metrics::CountOrder(std::string_view aOutcome)
{
  mOrders.Add({ { "outcome", std::string(aOutcome) } }).Increment();
}

void
Metrics::CountFailure(std::string_view aTask)
{
  mFailures.Add({ { "task", std::string(aTask) } }).Increment();
}

void
Metrics::ObserveLatency(std::string_view aPoint, Duration aTime)
{
  const std::chrono::duration<double> time = aTime;
  mLatencies.Add({ { "point", std::string(aPoint) } }, kLatencyBuckets)
    .Observe(time.count());
}

void
Metrics::CountServedBytes(size_t aBytes)
{
  mServedBytes.Increment(static_cast<double>(aBytes));
}

void
Metrics::SetGauge(std::string_view aName, double aValue)
{
  mGauges.Add({ { "name", std::string(aName) } }).Set(aValue);
}

std::string
Metrics::Render() const
{
  return prometheus::TextSerializer().Serialize(mRegistry.Collect());
}

} // namespace hibiscushold
