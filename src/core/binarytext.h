#pragma once

#include <Poco/BinaryReader.h>

#include <string>

namespace hibiscushold {

/// Reads a text that a Poco::BinaryWriter has written. The reader's own
/// operator reserves the stated length, up to 4 GB, before it reads.
/// @param aIn fails if fewer bytes are left than the text is stated to have
void
ReadText(Poco::BinaryReader& aIn, std::string& aText);

} // namespace hibiscushold
