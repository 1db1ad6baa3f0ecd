#pragma once

#include <sstream>

namespace hibiscushold {

/// A std::ostringstream that throws when it can't take all text. The standard
/// one only sets a flag when it is refused memory, and its text ends early.
class TextStream : public std::ostringstream
{
public:
  TextStream() { exceptions(std::ios::badbit); }
};

} // namespace hibiscushold
