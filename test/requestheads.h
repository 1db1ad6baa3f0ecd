#pragma once

#include "core/httpfield.h"

#include <string>
#include <vector>

namespace hibiscushold {

/// The head of a sound request, and what it consists of.
struct SoundHead
{
  std::string mFirstLine;
  std::vector<HttpField> mFields;

  std::string Text() const
  {
    std::string text = mFirstLine + "\r\n";
    for (const HttpField& it : mFields) {
      text += it.mName + ": " + it.mValue + "\r\n";
    }
    return text + "\r\n";
  }
};

/// @return a head with the fields Host and Id
inline std::string
HeadWith(const std::string& aFirstLine, const std::string& aLines)
{
  return aFirstLine + "\r\nHost: h\r\nId: r1\r\n" + aLines + "\r\n\r\n";
}

/// A value that a decoder of RFC 2047 turns into a request of its own.
inline std::string
EncodedRequest()
{
  return "=?UTF-8?Q?x=0D=0AContent-Length:_0=0D=0A=0D=0A"
         "POST_/lookup/forged_HTTP/1.1=0D=0AHost:_h=0D=0AId:_forged=0D=0A"
         "Account:_rival=0D=0AContent-Length:_0=0D=0A=0D=0A"
         "GET_/lookup/rest_HTTP/1.1=0D=0AHost:_h=0D=0ANote:_?=";
}

/// Heads that keep to the grammar, though some look encoded or odd.
inline std::vector<SoundHead>
SoundHeads()
{
  std::vector<SoundHead> heads;
  for (const std::string& it : std::vector<std::string>{
         "plain",
         "",
         "a b\tc",
         EncodedRequest(),
         "=?UTF-8?Q?caf=C3=A9?=",
         "=?utf-8?B?DQpYOiB5DQo=?= =?ISO-8859-1?Q?a?=",
         "=?UTF-8?Q?unfinished",
         "=?x?Q?=0D=0A?=",
         "?==?=",
         "%0d%0aX: y",
         "\\r\\nX: y",
         "a; q=\"b, c\"; d='e' (f) <g> {h} [i] |j| ~k `l` ^m @n #o",
         "caf\xc3\xa9 \xff\x80",
         std::string(9000, 'v') }) {
    heads.push_back({ "GET /lookup/x HTTP/1.1",
                      { { "Host", "h" }, { "Id", "r1" }, { "Note", it } } });
  }
  for (const char* it : { "/lookup/",
                          "/lookup/a/../b//c;d=e",
                          "/lookup/%41%0d%0A%00?q=%20&r[]=a:b@c!$'()*+,",
                          "/lookup/x?",
                          "/lookup/x?=?UTF-8?Q?a?=" }) {
    heads.push_back({ "GET " + std::string(it) + " HTTP/1.1",
                      { { "Host", "h" }, { "Id", "r1" } } });
  }
  heads.push_back({ "GET /lookup/x HTTP/1.1",
                    { { "hOST", "h" },
                      { "iD", "r1" },
                      { "X!#$%&'*+-.^_`|~9", "odd name" },
                      { "Note", "first" },
                      { "Other", "between" },
                      { "nOTE", "second" } } });
  heads.push_back(
    { "GET /lookup/x HTTP/1.1", { { "Host", "h:80" }, { "Id", "r1" } } });
  heads.push_back(
    { "M-SEARCH /lookup/x HTTP/1.1", { { "Host", "h" }, { "Id", "r1" } } });
  return heads;
}

/// Heads that break the grammar of RFC 9112 or contradict themselves.
inline std::vector<std::string>
MalformedHeads()
{
  const std::string start = "GET /lookup/x HTTP/1.1";
  std::vector<std::string> heads;
  for (const char* it : { "GET  /lookup/x HTTP/1.1",
                          "GET /lookup/x  HTTP/1.1",
                          "GET\t/lookup/x HTTP/1.1",
                          " GET /lookup/x HTTP/1.1",
                          "GET /lookup/x HTTP/1.1 ",
                          "GET /lookup/x y HTTP/1.1",
                          "GET /lookup/x",
                          "GET",
                          "/lookup/x HTTP/1.1",
                          "GET /lookup/x HTTP/0.9",
                          "GET /lookup/x HTTP/2.0",
                          "GET /lookup/x HTTP/1.2",
                          "GET /lookup/x HTTP/1.10",
                          "GET /lookup/x http/1.1",
                          "GET /lookup/x XTTP/1.1",
                          "G(T /lookup/x HTTP/1.1",
                          "G\x01T /lookup/x HTTP/1.1",
                          "GET /lookup/\x01 HTTP/1.1",
                          "GET /lookup/\x7f HTTP/1.1",
                          "GET /lookup/\xc3\xa9 HTTP/1.1",
                          "GET /lookup/\"x\" HTTP/1.1",
                          "GET /lookup/<x> HTTP/1.1",
                          "GET /lookup/\\x HTTP/1.1",
                          "GET /lookup/x#y HTTP/1.1",
                          "GET /lookup/%4 HTTP/1.1",
                          "GET /lookup/%zz HTTP/1.1",
                          "GET /lookup/\rx HTTP/1.1" }) {
    heads.push_back(HeadWith(it, "A: b"));
  }
  for (const char* it : { "no colon",
                          ": no name",
                          "Na me: x",
                          "Name : x",
                          "Name\t: x",
                          " Folded: x",
                          "\tfolded",
                          "Na\tme: x",
                          "Na\vme: x",
                          "Na\x01me: x",
                          "Na\x7fme: x",
                          "Na\rme: x",
                          "Na\"me: x",
                          "Na/me: x",
                          "Na\xc3\xa4me: x",
                          "Name: a\x01z",
                          "Name: a\vb",
                          "Name: a\rb",
                          "Name: a\r",
                          "Name: a\x7f",
                          "Name: a\nX: y",
                          "Host: h",
                          "host: other",
                          "Content-Length: +2",
                          "Content-Length: -2",
                          "Content-Length: 0x2",
                          "Content-Length: 2 ;",
                          "Content-Length: 2, 2",
                          "Content-Length:",
                          "Content-Length: =?UTF-8?Q?2?=",
                          "Content-Length: 99999999999999999999",
                          "Content-Length : 2",
                          "Content- Length: 2",
                          "Content-Length: 2\r\nContent-Length: 3",
                          "Content-Length: 2\r\ncontent-length: 2",
                          "Content-Length: 2\r\nTransfer-Encoding: chunked",
                          "Transfer-Encoding: gzip",
                          "Transfer-Encoding: xchunked",
                          "Transfer-Encoding: gzip, chunked",
                          "Transfer-Encoding: chunked, chunked",
                          "Transfer-Encoding: =?UTF-8?Q?chunked?=",
                          "Transfer-Encoding: identity" }) {
    heads.push_back(HeadWith(start, it));
  }
  for (const char* it :
       { "h/x", "h x", "u@h", "h?", "h\\", "h\xc3\xa9", "\"h" }) {
    heads.push_back(start + "\r\nHost: " + it + "\r\nId: r1\r\n\r\n");
  }
  const std::string chunked = "Transfer-Encoding: chunked";
  heads.push_back(HeadWith(start, chunked + "\r\n" + chunked));
  heads.push_back(start + "\r\nId: r1\r\n\r\n");
  heads.push_back(HeadWith(start, std::string("Na\0me: x", 8)));
  heads.push_back(HeadWith(start, std::string("Name: a\0b", 9)));
  heads.push_back(start + "\nHost: h\nId: r1\n\n");
  heads.push_back(start + "\r\nHost: h\nId: r1\r\n\r\n");
  heads.push_back(start + "\r\nHost: h\r\nId: r1\r\n\n");
  heads.push_back("GET /lookup/x HTTP/1.0\r\nHost: h\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
  return heads;
}

} // namespace hibiscushold
