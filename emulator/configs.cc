#include "emulator/configs.h"

#include "emulator/judge.h"

namespace hibiscushold::emulator {

namespace {

static_assert(kMovedServices == kServices);

/// Versions of the platform rise in uneven steps.
constexpr uint64_t kVersionStep = 7;
constexpr int kTimeoutMillis = 2000;

constexpr const char* kKeyPrefix = "/key/";
constexpr const char* kMovedPrefix = "/moved/";
constexpr const char* kOncePrefix = "/once/";
constexpr const char* kCrashPrefix = "/crash/";
constexpr const char* kStreamPrefix = "/stream/";

constexpr size_t kKeyService = 0;
constexpr size_t kRouteService = 1;
constexpr size_t kOnceService = 2;
constexpr size_t kCrashService = 3;
constexpr size_t kStreamService = 0;
constexpr const char* kIdempotent = "idempotent";
/// More than one segment of TCP, so that an answer can break off within.
constexpr size_t kAnswerBytes = 3000;

Json::Value
MakeRoute(const std::string& aName,
          const std::string& aPrefix,
          size_t aService,
          const char* aKind)
{
  Json::Value route;
  route["name"] = aName;
  route["host"] = kHost;
  route["path_prefix"] = aPrefix;
  route["service"] = ServiceName(aService);
  route["kind"] = aKind;
  route["attempts"] = 2;
  route["timeout_ms"] = kTimeoutMillis;
  route["slo_ms"] = 300;
  route["public"] = aPrefix != kKeyPrefix;
  return route;
}

/// A service without VMs, to which another writer's entries may belong.
Json::Value
MakeEngineService()
{
  Json::Value model;
  model["name"] = kEngineModel;
  model["size"] = 3;
  Json::Value service;
  service["name"] = kEngineService;
  service["engine"]["models"].append(model);
  return service;
}

std::string
RoutePrefix(uint64_t aVersion)
{
  return "/route" + std::to_string(aVersion) + "/";
}

} // namespace

std::string
ServiceName(size_t aIndex)
{
  return "service-" + std::to_string(aIndex);
}

std::string
KeyOfVersion(uint64_t aVersion)
{
  return "key-" + std::to_string(aVersion);
}

std::string
PathOfProbe(Probe aProbe, uint64_t aVersion)
{
  switch (aProbe) {
    case Probe::Key:
      return std::string(kKeyPrefix) + "x";
    case Probe::Moved:
      return std::string(kMovedPrefix) + "x";
    case Probe::Once:
      return std::string(kOncePrefix) + "x";
    case Probe::Crash:
      return std::string(kCrashPrefix) + "x";
    case Probe::Stream:
      return std::string(kStreamPrefix) + "x";
    case Probe::Route:
      break;
  }
  return RoutePrefix(aVersion) + "x";
}

bool
IsCrashPath(std::string_view aPath)
{
  return aPath.starts_with(kCrashPrefix);
}

bool
IsStreamPath(std::string_view aPath)
{
  return aPath.starts_with(kStreamPrefix);
}

std::string
StreamEvent(uint64_t aRequestId, uint64_t aNumber)
{
  return "id: " + std::to_string(aNumber) +
         "\ndata: " + std::to_string(aRequestId) + "\n\n";
}

std::string
StreamBody(uint64_t aRequestId, uint64_t aLast)
{
  std::string body;
  for (uint64_t n = aLast + 1; n <= kStreamEvents; ++n) {
    body += StreamEvent(aRequestId, n);
  }
  return body;
}

std::string
AnswerBody(size_t aService, uint64_t aRequestId)
{
  std::string body =
    std::to_string(aService) + " " + std::to_string(aRequestId) + " ";
  body.resize(kAnswerBytes, '.');
  return body;
}

Json::Value
MakeConfig(uint64_t aVersion, double aColdPerSecond)
{
  Json::Value config;
  config["version"] = Json::UInt64(aVersion * kVersionStep);
  Json::Value& routes = config["routes"];
  routes.append(MakeRoute("key", kKeyPrefix, kKeyService, kIdempotent));
  routes.append(
    MakeRoute("moved", kMovedPrefix, aVersion % kMovedServices, kIdempotent));
  routes.append(MakeRoute("once", kOncePrefix, kOnceService, "non_idempotent"));
  Json::Value stream =
    MakeRoute("stream", kStreamPrefix, kStreamService, "streaming");
  stream["resumable"] = true;
  routes.append(std::move(stream));
  routes.append(MakeRoute("crash", kCrashPrefix, kCrashService, kIdempotent));
  Json::Value tenant;
  tenant["name"] = "tenant";
  for (const uint64_t it : { aVersion - 1, aVersion }) {
    const std::string name = "route" + std::to_string(it);
    routes.append(MakeRoute(name, RoutePrefix(it), kRouteService, kIdempotent));
    tenant["keys"].append(KeyOfVersion(it));
  }
  config["tenants"].append(tenant);
  for (size_t it = 0; it < kServices; ++it) {
    Json::Value service;
    service["name"] = ServiceName(it);
    if (aColdPerSecond > 0) {
      service["cold_per_s"] = aColdPerSecond;
    }
    config["services"].append(service);
  }
  config["services"].append(MakeEngineService());
  config["limits"]["idle_ms"] = 15000;
  return config;
}

} // namespace hibiscushold::emulator
