#include "core/json.h"

#include "core/textstream.h"

#include <json/reader.h>
#include <json/writer.h>

#include <limits>
#include <memory>

namespace hibiscushold {

Result<Json::Value>
ParseJson(std::string_view aText)
{
  static const Json::CharReaderBuilder builder = [] {
    Json::CharReaderBuilder settings;
    Json::CharReaderBuilder::strictMode(&settings.settings_);
    settings["stackLimit"] = 64;
    settings["strictRoot"] = false;
    return settings;
  }();
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string message;
  bool ok = false;
  try {
    ok = reader->parse(
      aText.data(), aText.data() + aText.size(), &value, &message);
  } catch (const Json::Exception& e) {
    message = e.what();
  }
  if (!ok) {
    return Failure{ Error::ReplyInvalid, message, "send valid JSON" };
  }
  return value;
}

Result<Json::Value>
ParseJsonObject(std::string_view aText)
{
  Result<Json::Value> value = ParseJson(aText);
  if (!value || !value.value().isObject()) {
    const std::string reason = value ? "" : value.error().mDetail;
    return Failure{ Error::ReplyInvalid,
                    reason.empty() ? "not a JSON object" : reason,
                    "send one JSON object" };
  }
  return value;
}

std::string
ToJson(const Json::Value& aValue)
{
  static const Json::StreamWriterBuilder builder = [] {
    Json::StreamWriterBuilder settings;
    settings["indentation"] = "";
    settings["emitUTF8"] = true;
    return settings;
  }();
  const std::unique_ptr<Json::StreamWriter> writer(builder.newStreamWriter());
  TextStream text;
  writer->write(aValue, &text);
  return text.str();
}

std::string
TextAt(const Json::Value& aObject,
       const char* aName,
       const std::string& aFallback)
{
  if (!aObject.isObject() || !aObject[aName].isString()) {
    return aFallback;
  }
  return aObject[aName].asString();
}

uint64_t
NumberAt(const Json::Value& aObject, const char* aName, uint64_t aFallback)
{
  if (!aObject.isObject() || !aObject[aName].isUInt64()) {
    return aFallback;
  }
  return aObject[aName].asUInt64();
}

uint32_t
CountAt(const Json::Value& aObject, const char* aName, uint32_t aFallback)
{
  const uint64_t number = NumberAt(aObject, aName, aFallback);
  return number <= std::numeric_limits<uint32_t>::max()
           ? static_cast<uint32_t>(number)
           : aFallback;
}

bool
FlagAt(const Json::Value& aObject, const char* aName, bool aFallback)
{
  if (!aObject.isObject() || !aObject[aName].isBool()) {
    return aFallback;
  }
  return aObject[aName].asBool();
}

const Json::Value&
ArrayAt(const Json::Value& aObject, const char* aName)
{
  static const Json::Value empty(Json::arrayValue);
  if (!aObject.isObject() || !aObject[aName].isArray()) {
    return empty;
  }
  return aObject[aName];
}

} // namespace hibiscushold
