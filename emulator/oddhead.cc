#include "emulator/oddhead.h"

#include "core/hash.h"
#include "emulator/configs.h"
#include "platform/wirenames.h"

#include <iterator>

namespace hibiscushold::emulator {

namespace {

/// Added to the id of a caller's request, it is the id of none.
constexpr uint64_t kForgedIds = 1'000'000'000'000;

/// @return a value that holds a request once it is decoded (RFC 2047)
std::string
EncodedRequest(uint64_t aRequestId)
{
  return "=?UTF-8?Q?x=0D=0AContent-Length:_0=0D=0A=0D=0APOST_" +
         PathOfProbe(Probe::Once, 0) + "_HTTP/1.1=0D=0AHost:_" + kHost +
         "=0D=0A" + wire::kRequestId + ":_" +
         std::to_string(kForgedIds + aRequestId) +
         "=0D=0AContent-Length:_0=0D=0A=0D=0AGET_/_HTTP/1.1=0D=0ANote:_?=";
}

} // namespace

std::string
OddNote(uint64_t aRequestId)
{
  const std::string notes[] = {
    "plain",
    EncodedRequest(aRequestId),
    "=?UTF-8?Q?caf=C3=A9?= =?utf-8?B?DQpYOiB5DQo=?=",
    "=?x?Q?unfinished",
    "%0d%0aX: y \\r\\n \"q, r\"; (c)",
    "caf\xc3\xa9\t\xff",
    "",
    std::string(8500, 'n'),
  };
  return notes[aRequestId % std::size(notes)];
}

std::string
MalformedRequest(uint64_t aRequestId)
{
  const std::string id =
    std::string(wire::kRequestId) + ": " + std::to_string(aRequestId) + "\r\n";
  const std::string host = std::string("Host: ") + kHost + "\r\n";
  const std::string path = PathOfProbe(Probe::Once, 0);
  const std::string start = "POST " + path + " HTTP/1.1\r\n" + host + id;
  const std::string none = "Content-Length: 0\r\n\r\n";
  const std::string heads[] = {
    start + "Na me: x\r\n" + none,
    start + "Name : x\r\n" + none,
    start + "Name: a\x01\r\n" + none,
    start + "Name: a\rX: y\r\n" + none,
    start + "Name: a\n" + none,
    start + "X: y\r\n folded\r\n" + none,
    start + "no colon\r\n" + none,
    start + host + none,
    start + "Content-Length: 0\r\n" + none,
    start + "Content-Length: +0\r\n\r\n",
    start + "Transfer-Encoding: chunked\r\n" + none + "0\r\n\r\n",
    start + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "POST  " + path + " HTTP/1.1\r\n" + host + id + none,
    "POST " + path + "\x7f HTTP/1.1\r\n" + host + id + none,
    "POST " + path + " HTTP/1.2\r\n" + host + id + none,
    "POST " + path + " HTTP/1.1\r\n" + id + none,
    "POST " + path + " HTTP/1.1\n" + host + id + none,
  };
  return heads[aRequestId % std::size(heads)];
}

uint64_t
DigestOf(std::string_view aMethod,
         std::string_view aUri,
         std::span<const std::string> aNotes)
{
  uint64_t digest = Hash64(aUri, Hash64(aMethod));
  for (const std::string& it : aNotes) {
    digest = Hash64(it, digest);
  }
  return digest;
}

} // namespace hibiscushold::emulator
