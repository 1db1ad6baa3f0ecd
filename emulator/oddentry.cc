#include "emulator/oddentry.h"

#include "core/json.h"
#include "emulator/configs.h"

#include <array>

namespace hibiscushold::emulator {

namespace {

constexpr std::array<std::string_view, 6> kFields{ "rank", "epoch", "slots",
                                                   "born", "seq",   "port" };
constexpr std::array<std::string_view, 12> kValues{ "50000000",
                                                    "2147483648",
                                                    "4294967295",
                                                    "4294967296",
                                                    "9223372036854775808",
                                                    "18446744073709551615",
                                                    "-1",
                                                    "1.5",
                                                    "1e308",
                                                    "\"many\"",
                                                    "null",
                                                    "[]" };

} // namespace

std::span<const std::string_view>
OddFields()
{
  return kFields;
}

std::span<const std::string_view>
OddValues()
{
  return kValues;
}

Json::Value
MakeOddEntry(std::string_view aField, const Json::Value& aValue)
{
  Json::Value entry;
  entry["service"] = kEngineService;
  entry["addr"] = "127.0.0.1:9";
  entry["zone"] = "zone-0";
  entry["version"] = 1;
  entry["slots"] = 1;
  entry["state"] = "ready";
  entry["domain"] = "domain-1";
  entry["born"] = Json::UInt64(1);
  entry["seq"] = Json::UInt64(1);
  Json::Value model;
  model["name"] = kEngineModel;
  entry["models"].append(model);
  entry["staged"].append(kEngineModel);
  Json::Value& group = entry["group"];
  group["name"] = "group-of-another-writer";
  group["epoch"] = 1;
  group["rank"] = 0;
  group["state"] = "ready";
  if (aField == "port") {
    entry["addr"] = "127.0.0.1:" + ToJson(aValue);
  } else if (group.isMember(std::string(aField))) {
    group[std::string(aField)] = aValue;
  } else {
    entry[std::string(aField)] = aValue;
  }
  return entry;
}

} // namespace hibiscushold::emulator
