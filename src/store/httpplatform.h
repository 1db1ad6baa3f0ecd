#pragma once

#include "core/http.h"
#include "observe/metrics.h"
#include "store/budget.h"
#include "store/platform.h"

#include <mutex>

namespace hibiscushold {

/// Client of the platform's object service over HTTP and JSON. Calls beyond
/// the call budget fail with StoreThrottled without being sent.
class HttpPlatform final : public Platform
{
public:
  /// @param aAddress address of the object service
  /// @param aCallsPerSecond rate and capacity of the call budget
  HttpPlatform(Endpoint aAddress,
               uint32_t aCallsPerSecond,
               HttpClient& aClient,
               const Clock& aClock,
               Metrics& aMetrics);

  Result<Object> Get(std::string_view aKey, CallPriority aPriority) override;
  Result<Listing> List(std::string_view aPrefix,
                       CallPriority aPriority) override;
  Result<uint64_t> Create(std::string_view aKey,
                          std::string_view aValue,
                          CallPriority aPriority) override;
  Result<uint64_t> Update(std::string_view aKey,
                          std::string_view aValue,
                          uint64_t aVersion,
                          CallPriority aPriority) override;
  Result<void> Delete(std::string_view aKey,
                      uint64_t aVersion,
                      CallPriority aPriority) override;
  Result<Listing> Watch(std::string_view aPrefix,
                        uint64_t aSince,
                        milliseconds aWait) override;
  Result<VmListing> ListVms(uint64_t aSince) override;

private:
  Result<HttpReply> Send(const HttpRequest& aRequest,
                         CallPriority aPriority,
                         milliseconds aTimeout);
  Result<uint64_t> Write(std::string_view aKey,
                         std::string_view aValue,
                         HttpField aCondition,
                         CallPriority aPriority);

  const Endpoint mAddress;
  HttpClient& mClient;
  const Clock& mClock;
  Metrics& mMetrics;
  std::mutex mLock;
  CallBudget mBudget;
};

} // namespace hibiscushold
