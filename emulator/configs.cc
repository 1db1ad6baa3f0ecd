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

Json::Value
MakeRoute(const std::string& aName,
          const std::string& aPrefix,
          size_t aService,
          bool aIsPublic)
{
  Json::Value route;
  route["name"] = aName;
  route["host"] = kHost;
  route["path_prefix"] = aPrefix;
  route["service"] = ServiceName(aService);
  route["kind"] = "idempotent";
  route["attempts"] = 2;
  route["timeout_ms"] = kTimeoutMillis;
  route["slo_ms"] = 300;
  route["public"] = aIsPublic;
  return route;
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
    case Probe::Route:
      break;
  }
  return RoutePrefix(aVersion) + "x";
}

Json::Value
MakeConfig(uint64_t aVersion)
{
  Json::Value config;
  config["version"] = Json::UInt64(aVersion * kVersionStep);
  Json::Value& routes = config["routes"];
  routes.append(MakeRoute("key", kKeyPrefix, 0, false));
  routes.append(
    MakeRoute("moved", kMovedPrefix, aVersion % kMovedServices, true));
  Json::Value tenant;
  tenant["name"] = "tenant";
  for (const uint64_t it : { aVersion - 1, aVersion }) {
    const std::string name = "route" + std::to_string(it);
    routes.append(MakeRoute(name, RoutePrefix(it), 1, true));
    tenant["keys"].append(KeyOfVersion(it));
  }
  config["tenants"].append(tenant);
  for (size_t it = 0; it < kServices; ++it) {
    Json::Value service;
    service["name"] = ServiceName(it);
    config["services"].append(service);
  }
  config["limits"]["idle_ms"] = 15000;
  return config;
}

} // namespace hibiscushold::emulator
