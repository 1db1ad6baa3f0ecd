#pragma once

#include "emulator/lines.h"

#include <json/value.h>

#include <string>
#include <string_view>

namespace hibiscushold::emulator {

/// What the operator's versions and the callers' requests agree on. Version N
/// accepts the keys and has the routes of versions N and N - 1.

inline constexpr size_t kServices = 4;
inline constexpr const char* kHost = "emulated.example";

/// @return the name of a service
inline constexpr const char* kEngineService = "engines";
inline constexpr const char* kEngineModel = "model";

std::string
ServiceName(size_t aIndex);

/// @return the key that versions aVersion and aVersion + 1 accept
std::string
KeyOfVersion(uint64_t aVersion);

/// @return the path of a request; it begins with the prefix of its route
std::string
PathOfProbe(Probe aProbe, uint64_t aVersion);

/// @return whether requests with the path end their targets
bool
IsCrashPath(std::string_view aPath);

/// @return the whole answer of a service to a request
std::string
AnswerBody(size_t aService, uint64_t aRequestId);

/// @return whether the path is one of a stream
bool
IsStreamPath(std::string_view aPath);

inline constexpr uint64_t kStreamEvents = 6;

/// @return the event of a request's stream with this number, from 1 on
std::string
StreamEvent(uint64_t aRequestId, uint64_t aNumber);

/// @return all events of a request's stream after aLast, which is 0 for none
std::string
StreamBody(uint64_t aRequestId, uint64_t aLast);

/// @param aColdPerSecond rate of cold targets, 0 for none
/// @return the specification of the version, as the operator writes it
Json::Value
MakeConfig(uint64_t aVersion, double aColdPerSecond);

} // namespace hibiscushold::emulator
