#pragma once

#include "core/errors.h"
#include "core/httpfield.h"

#include <span>
#include <string>
#include <string_view>

namespace hibiscushold {

/// Writes the head of a request. All writers of requests use it, so that no
/// part of a head, whoever made it, can end a line and add another one.
/// @param aUri path and query
/// @return the head with its empty line, or HeadInvalid if a part breaks the
///         grammar of HTTP/1.1
Result<std::string>
RenderRequestHead(std::string_view aMethod,
                  std::string_view aUri,
                  std::span<const HttpField> aFields);

/// Writes the head of a response, as RenderRequestHead does for requests.
/// @param aVersion such as "HTTP/1.1"
Result<std::string>
RenderResponseHead(std::string_view aVersion,
                   int aStatus,
                   std::span<const HttpField> aFields);

} // namespace hibiscushold
