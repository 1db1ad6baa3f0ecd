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

BodyFraming
FramingOf(const HTTPResponse& aHead, bool aNoBody)
{
  const int status = aHead.getStatus();
  if (aNoBody || status == 204 || status == 304) {
    return BodyFraming::None;
  }
  if (aHead.getChunkedTransferEncoding()) {
    return BodyFraming::Chunked;
  }
  if (aHead.has(HTTPResponse::TRANSFER_ENCODING)) {
    Fail("unknown transfer encoding");
  }
  return aHead.hasContentLength() ? BodyFraming::Length
                                  : BodyFraming::UntilClose;
}

uint64_t
LengthOf(const HTTPResponse& aHead)
{
  if (!aHead.hasContentLength()) {
    return 0;
  }
  const int64_t length = aHead.getContentLength64();
  if (length < 0) {
    Fail("invalid length");
  }
  return static_cast<uint64_t>(length);
}

} // namespace

const char*
NameOf(BodyFraming aFraming)
{
  switch (aFraming) {
    case BodyFraming::None:
      return "none";
    case BodyFraming::Length:
      return "length";
    case BodyFraming::Chunked:
      return "chunked";
    case BodyFraming::UntilClose:
      return "until_close";
  }
  return "";
}

BodyReader::BodyReader(HttpSession& aSession,
                       const HTTPResponse& aHead,
                       bool aNoBody)
  : BodyReader(
      [&aSession](std::span<char> aInto) { return aSession.ReadRaw(aInto); },
      FramingOf(aHead, aNoBody),
      LengthOf(aHead))
{
}

BodyReader::BodyReader(RawReader aRead, BodyFraming aFraming, uint64_t aLength)
  : mRead(std::move(aRead))
  , mFraming(aFraming)
  , mRemaining(aFraming == BodyFraming::Length ? aLength : 0)
{
  mComplete = mFraming == BodyFraming::None ||
              (mFraming == BodyFraming::Length && mRemaining == 0);
}

size_t
BodyReader::Read(std::span<char> aInto)
{
  if (mComplete) {
    return 0;
  }
  switch (mFraming) {
    case BodyFraming::None:
      return 0;
    case BodyFraming::Chunked:
      return ReadChunked(aInto);
    case BodyFraming::UntilClose: {
      const size_t n = mRead(aInto);
      mComplete = n == 0;
      return n;
    }
    case BodyFraming::Length:
      break;
  }
  const size_t n =
    ReadAvailable(aInto.first(std::min<size_t>(aInto.size(), mRemaining)));
  mRemaining -= n;
  mComplete = mRemaining == 0;
  return n;
}

size_t
BodyReader::ReadAvailable(std::span<char> aInto)
{
  const size_t n = mRead(aInto);
  if (n == 0) {
    throw Poco::Net::ConnectionAbortedException("the body ended too early");
  }
  return n;
}

char
BodyReader::ReadByte()
{
  char byte = 0;
  ReadAvailable({ &byte, 1 });
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
  if (mRemaining == 0) {
    if (mFirstChunkSeen) {
      ReadLineEnd();
    }
    mFirstChunkSeen = true;
    mRemaining = ReadChunkSize();
    if (mRemaining == 0) {
      ReadTrailers();
      mComplete = true;
      return 0;
    }
  }
  const size_t n =
    ReadAvailable(aInto.first(std::min<size_t>(aInto.size(), mRemaining)));
  mRemaining -= n;
  return n;
}

} // namespace hibiscushold
