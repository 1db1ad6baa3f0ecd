#include "core/binarytext.h"

#include <istream>

namespace hibiscushold {

void
ReadText(Poco::BinaryReader& aIn, std::string& aText)
{
  Poco::UInt32 length = 0;
  aIn.read7BitEncoded(length);
  std::istream& stream = aIn.stream();
  if (!stream.good() || length > stream.rdbuf()->in_avail()) {
    stream.setstate(std::ios::failbit);
    return;
  }
  aText.resize(length);
  stream.read(aText.data(), static_cast<std::streamsize>(length));
}

} // namespace hibiscushold
