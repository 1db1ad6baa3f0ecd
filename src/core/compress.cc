#include "core/compress.h"

#include "core/textstream.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

#include <array>

namespace hibiscushold {

namespace {

constexpr int kFastestLevel = 1;
constexpr size_t kBlockBytes = 16384;

Failure
NotInflated(const char* aReason)
{
  return { Error::ReplyInvalid,
           std::string("compressed bytes: ") + aReason,
           "" };
}

} // namespace

std::string
Deflate(std::string_view aBytes)
{
  TextStream compressed;
  Poco::DeflatingOutputStream out(
    compressed, Poco::DeflatingStreamBuf::STREAM_ZLIB, kFastestLevel);
  out.exceptions(std::ios::badbit);
  out.write(aBytes.data(), static_cast<std::streamsize>(aBytes.size()));
  out.close();
  return compressed.str();
}

Result<std::string>
Inflate(std::string_view aBytes, size_t aLength)
{
  Poco::MemoryInputStream compressed(
    aBytes.data(), static_cast<std::streamsize>(aBytes.size()));
  std::string bytes;
  try {
    Poco::InflatingInputStream in(compressed,
                                  Poco::InflatingStreamBuf::STREAM_ZLIB);
    in.exceptions(std::ios::badbit);
    std::array<char, kBlockBytes> buf;
    while (in.good() && bytes.size() <= aLength) {
      in.read(buf.data(), buf.size());
      bytes.append(buf.data(), static_cast<size_t>(in.gcount()));
    }
  } catch (const Poco::Exception& e) {
    return NotInflated(e.displayText().c_str());
  } catch (const std::ios_base::failure&) {
    return NotInflated("malformed");
  }
  if (bytes.size() != aLength) {
    return NotInflated("too few or too many");
  }
  return bytes;
}

} // namespace hibiscushold
