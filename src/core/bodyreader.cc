#include "core/bodyreader.h"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <charconv>

namespace hibiscushold {

namespace {

constexpr size_t kMaxLineBytes = 1024;

[[noreturn]] void
Fail(const char* aWhat)
{
  throw Poco::Net::MessageException(aWhat);
}

} // namespace

BodyReader::BodyReader(HttpSession& aSession, const ResponseHead& aHead)
  : BodyReader(
      [&aSession](std::span<char> aInto) { return aSession.ReadRaw(aInto); },
      aHead.mFraming,
      aHead.mLength)
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

std::string
BodyReader::ReadLine(size_t aMaxBytes)
{
  std::string line;
  for (char it = ReadByte(); it != '\n'; it = ReadByte()) {
    line += it;
    if (line.size() > aMaxBytes) {
      Fail("a line between chunks is too long");
    }
  }
  if (!line.ends_with('\r')) {
    Fail("a line between chunks has no end");
  }
  line.pop_back();
  return line;
}

uint64_t
BodyReader::ReadChunkSize()
{
  const std::string line = ReadLine(kMaxLineBytes);
  uint64_t size = 0;
  const char* last = line.data() + line.size();
  const auto [end, ec] = std::from_chars(line.data(), last, size, 16);
  const std::string_view rest(end, static_cast<size_t>(last - end));
  const size_t extension = rest.find_first_not_of(" \t");
  const bool ended = rest.empty() || (extension != std::string_view::npos &&
                                      rest[extension] == ';');
  if (ec != std::errc() || !ended || !IsFieldText(rest)) {
    Fail("the length of a chunk is invalid");
  }
  return size;
}

void
BodyReader::ReadTrailers()
{
  size_t left = kMaxLineBytes;
  for (std::string line = ReadLine(left); !line.empty();
       line = ReadLine(left)) {
    if (!ParseFieldLine(line)) {
      Fail("a trailer is no field");
    }
    left -= line.size();
  }
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
