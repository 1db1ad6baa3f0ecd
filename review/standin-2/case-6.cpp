// A tenant's client writes a line break into a header of its own, in the form
// of an encoded word.

#include "world.hpp"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <mutex>

using namespace review;

namespace {

/// @return the text as an encoded word (RFC 2047) of visible ASCII
std::string
EncodedWord(const std::string& aText)
{
  std::string word = "=?UTF-8?Q?";
  for (const char it : aText) {
    if (std::isalnum(static_cast<unsigned char>(it)) != 0 || it == '/' ||
        it == ':' || it == '.' || it == '-') {
      word += it;
    } else {
      char code[8];
      std::snprintf(
        code, sizeof(code), "=%02X", static_cast<unsigned>(it) & 255);
      word += code;
    }
  }
  return word + "?=";
}

/// A header whose decoded text ends the request and holds another one.
std::string
NoteWithRequest(const std::string& aForgedId)
{
  return EncodedWord("stand 12\r\nContent-Length: 0\r\n\r\n"
                     "POST /ledger/refund HTTP/1.1\r\nHost: review.example\r\n"
                     "Request-Id: " +
                     aForgedId +
                     "\r\nTenant: rival\r\nContent-Length: 0\r\n\r\n"
                     "GET /ledger/rest HTTP/1.1\r\nHost: review.example\r\n"
                     "Note: ");
}

struct Seen
{
  std::string mId;
  std::string mTenant;
  std::string mUri;
};

int
Play(World& world, Record& record)
{
  static std::mutex lock;
  static std::vector<Seen> runs;
  static std::map<std::string, std::string> sent; // id and tenant

  static const Answer answer =
    [&](Worker& aWorker, const Run& aRun, Channel& aChannel) {
      {
        const std::lock_guard guard(lock);
        runs.push_back({ aRun.mId, aRun.mHead.Get("Tenant"), aRun.mUri });
      }
      Sleep(15);
      aChannel.Send(WholeAnswer(aWorker, aRun, 200, "done " + aRun.mId));
    };
  static std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 1; n <= 3; ++n) {
    workers.push_back(std::make_unique<Worker>("i-" + std::to_string(n),
                                               "ledger",
                                               "zone-" + std::to_string(n),
                                               world.mStore,
                                               record,
                                               answer));
    workers.back()->Report();
  }
  world.PutConfig(MakeConfig(
    7,
    { MakeRoute(
      "ledger", "/ledger/", "ledger", "non_idempotent", 2000, 300, 1) },
    { "ledger" },
    { { "key-fair", "fair" }, { "key-rival", "rival" } }));
  world.StartNodes();
  Sleep(1500);

  size_t answered = 0;
  for (int n = 1; n <= 20; ++n) {
    const std::string id = "request-" + std::to_string(n);
    const std::string note =
      IsCalm() ? "stand 12" : NoteWithRequest("forged-" + std::to_string(n));
    sent[id] = "fair";
    const auto channel =
      Channel::Open(Host(), world.mNodes[n % 2]->CallerPort());
    record.Add("client of tenant fair sends POST /ledger/confirm id=" + id +
               " Note: " + note);
    channel->Send(MakeRequest("POST",
                              "/ledger/confirm",
                              id,
                              2000,
                              "key-fair",
                              { { "Note", note } },
                              "amount=1"));
    const Got got = ReadAnswer(*channel, 3000);
    record.Add("client gets " + std::to_string(got.mStatus) + " for " + id +
               (got.mIsWhole ? ", whole" : ""));
    answered += got.mStatus == 200 && got.mIsWhole ? 1 : 0;
    Sleep(50);
  }
  Sleep(1000);

  const std::lock_guard guard(lock);
  size_t unsent = 0;
  size_t foreign = 0;
  for (const Seen& it : runs) {
    const auto known = sent.find(it.mId);
    unsent += known == sent.end() ? 1 : 0;
    foreign += it.mTenant != "fair" ? 1 : 0;
  }
  record.Add("answered " + std::to_string(answered) + " of 20, runs " +
             std::to_string(runs.size()) + ", runs of ids that no client sent " +
             std::to_string(unsent) + ", runs under another tenant " +
             std::to_string(foreign));
  std::cout << "answered " << answered << " of 20, runs " << runs.size()
            << ", UNASKED: ids that no client sent " << unsent
            << ", another tenant " << foreign << "\n";
  return unsent + foreign > 0 ? 1 : answered == 0 ? 2 : 0;
}

} // namespace

int
main(int, char** aWords)
{
  RunCase(aWords[1], 2, 2, Play);
}
