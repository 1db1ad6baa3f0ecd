#include "gateway/bodyreader.h"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <charconv>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPResponse;

constexpr size_t kMaxLineBytes = 1024;

[[noreturn]] void
Fail(const char* aWhat)
{
  throw Poco::Net::MessageException(aWhat);
}

BodyEnd
EndOf(const HTTPResponse& aHead, bool aNoBody)
{
  const int status = aHead.getStatus();
  if (aNoBody || status == 204 || status == 304) {
    return BodyEnd::None;
  }
  if (aHead.getChunkedTransferEncoding()) {
    return BodyEnd::LastChunk;
  }
  if (aHead.has(HTTPResponse::TRANSFER_ENCODING)) {
    Fail("unknown transfer encoding");
  }
  return aHead.hasContentLength() ? BodyEnd::Length : BodyEnd::Connection;
}

} // namespace

BodyReader::BodyReader(HttpSession& aSession,
                       const HTTPResponse& aHead,
                       bool aNoBody)
  : mSession(aSession)
  , mEnd(EndOf(aHead, aNoBody))
{
  if (mEnd == BodyEnd::Length) {
    const int64_t length = aHead.getContentLength64();
    if (length < 0) {
      Fail("invalid length");
    }
    mLeft = static_cast<uint64_t>(length);
  }
  mWhole = mEnd == BodyEnd::None || (mEnd == BodyEnd::Length && mLeft == 0);
}

size_t
BodyReader::Read(std::span<char> aInto)
{
  if (mWhole) {
    return 0;
  }
  switch (mEnd) {
    case BodyEnd::None:
      return 0;
    case BodyEnd::LastChunk:
      return ReadChunked(aInto);
    case BodyEnd::Connection: {
      const size_t n = mSession.ReadRaw(aInto);
      mWhole = n == 0;
      return n;
    }
    case BodyEnd::Length:
      break;
  }
  const size_t n = ReadSome(aInto.first(std::min<size_t>(aInto.size(), mLeft)));
  mLeft -= n;
  mWhole = mLeft == 0;
  return n;
}

size_t
BodyReader::ReadSome(std::span<char> aInto)
{
  const size_t n = mSession.ReadRaw(aInto);
  if (n == 0) {
    Fail("the answer ended too early");
  }
  return n;
}

char
BodyReader::ReadByte()
{
  char byte = 0;
  ReadSome({ &byte, 1 });
  return byte;
}

void
BodyReader::ReadLineEnd()
{
  if (ReadByte() != '\r' || ReadByte() != '\n') {
    Fail("a chunk has no end of line");
  }
}

uint64_t
BodyReader::ReadChunkSize()
{
  std::string line;
  for (char it = ReadByte(); it != '\n'; it = ReadByte()) {
    line += it;
    if (line.size() > kMaxLineBytes) {
      Fail("the length of a chunk is too long");
    }
  }
  uint64_t size = 0;
  const auto [end, ec] =
    std::from_chars(line.data(), line.data() + line.size(), size, 16);
  const bool ended = end != line.data() + line.size() &&
                     (*end == '\r' || *end == ';' || *end == ' ');
  if (ec != std::errc() || !ended) {
    Fail("the length of a chunk is invalid");
  }
  return size;
}

void
BodyReader::ReadTrailers()
{
  size_t inLine = 0;
  for (size_t n = 0; n < kMaxLineBytes; ++n) {
    const char byte = ReadByte();
    if (byte == '\n') {
      if (inLine == 0) {
        return;
      }
      inLine = 0;
    } else if (byte != '\r') {
      ++inLine;
    }
  }
  Fail("the trailers are too long");
}

size_t
BodyReader::ReadChunked(std::span<char> aInto)
{
  if (mLeft == 0) {
    if (mInChunks) {
      ReadLineEnd();
    }
    mInChunks = true;
    mLeft = ReadChunkSize();
    if (mLeft == 0) {
      ReadTrailers();
      mWhole = true;
      return 0;
    }
  }
  const size_t n = ReadSome(aInto.first(std::min<size_t>(aInto.size(), mLeft)));
  mLeft -= n;
  return n;
}

} // namespace hibiscushold
