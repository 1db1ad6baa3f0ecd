#pragma once

#include "core/errors.h"

#include <json/value.h>

#include <string>
#include <string_view>

namespace hibiscushold {

/// Parses strictly, with a limit on nesting.
/// @return the object, or ReplyInvalid when aText isn't a JSON object
Result<Json::Value>
ParseJsonObject(std::string_view aText);

/// Parses any JSON value likewise.
/// @return the value, or ReplyInvalid
Result<Json::Value>
ParseJson(std::string_view aText);

/// @return aValue as JSON without line breaks
std::string
ToJson(const Json::Value& aValue);

/// The following functions return a member of aObject, or aFallback when the
/// member is missing or has another type. They don't throw.
std::string
TextAt(const Json::Value& aObject,
       const char* aName,
       const std::string& aFallback = {});

uint64_t
NumberAt(const Json::Value& aObject, const char* aName, uint64_t aFallback = 0);

/// @return the member if it is a whole number of at most 32 bits
uint32_t
CountAt(const Json::Value& aObject, const char* aName, uint32_t aFallback = 0);

bool
FlagAt(const Json::Value& aObject, const char* aName, bool aFallback = false);

/// @return the member, or an empty array when it is missing or not an array
const Json::Value&
ArrayAt(const Json::Value& aObject, const char* aName);

} // namespace hibiscushold
