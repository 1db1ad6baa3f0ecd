#include "gatewayfixture.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace hibiscushold;

namespace {

constexpr size_t kCallers = 6;
constexpr size_t kRequestsPerCaller = 8;
constexpr auto kColdTime = seconds(60);

const std::string kAnswered = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n"
                              "Content-Length: 2\r\n\r\nok";
/// A response without proof, which may be tried again elsewhere.
const std::string kSpoiled =
  "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok";
const std::string kRequest =
  "GET /lookup/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nConnection: close\r\n\r\n";

std::vector<ScriptedServer::Response>
Repeat(const std::string& aBytes, size_t aCount)
{
  return std::vector<ScriptedServer::Response>(aCount, { aBytes });
}

/// @return the time after which the caller is told to return, in seconds, or 0
double
RetryAfterOf(const std::string& aResponse)
{
  static const std::string kField = "Retry-After: ";
  const size_t at = aResponse.find(kField);
  return at == std::string::npos
           ? 0
           : std::strtod(aResponse.c_str() + at + kField.size(), nullptr);
}

} // namespace

TEST_GROUP(ColdForward)
{
  GatewayFixture mGateway;

  std::string Ask() const
  {
    return mGateway.Ask(kRequest, "none").mBytes;
  }

  /// @return the responses to many callers who ask at the same time
  std::vector<std::string> AskByMany() const
  {
    std::vector<std::string> responses(kCallers * kRequestsPerCaller);
    std::vector<std::thread> callers;
    for (size_t n = 0; n < kCallers; ++n) {
      callers.emplace_back([&, n] {
        for (size_t i = n; i < responses.size(); i += kCallers) {
          responses[i] = Ask();
        }
      });
    }
    for (std::thread& it : callers) {
      it.join();
    }
    return responses;
  }
};

// The load: many callers ask at the same time for a target that tolerates one
// request now.
TEST(ColdForward, ATargetGetsOneRequestInEachTurnAndOthersAreRefused)
{
  ScriptedServer only(Repeat(kAnswered, kCallers * kRequestsPerCaller));
  mGateway.AddTarget(only);
  mGateway.SetTargetCold(0, mGateway.mClock.Now() + kColdTime, 0.05);
  mGateway.Start();
  size_t answered = 0;
  for (const std::string& it : AskByMany()) {
    if (it.starts_with("HTTP/1.1 200")) {
      ++answered;
      continue;
    }
    STRCMP_CONTAINS("HTTP/1.1 503", it.c_str());
    STRCMP_CONTAINS("\"ran\":\"no\"", it.c_str());
    // The next turn is 20 s after the first.
    CHECK_TEXT(RetryAfterOf(it) > 5, it.c_str());
    CHECK_TEXT(RetryAfterOf(it) <= 20, it.c_str());
  }
  CHECK_EQUAL(1U, answered);
  CHECK_EQUAL(1U, only.Requests().size());
}

// The load: as above, over several turns.
TEST(ColdForward, ATargetGetsNoMoreThanItsShareOverTime)
{
  constexpr double kPerSecond = 100;
  ScriptedServer only(Repeat(kAnswered, kCallers * kRequestsPerCaller));
  mGateway.AddTarget(only);
  mGateway.SetTargetCold(0, mGateway.mClock.Now() + kColdTime, kPerSecond);
  mGateway.Start();
  const TimePoint begin = mGateway.mClock.Now();
  (void)AskByMany();
  const std::chrono::duration<double> time = mGateway.mClock.Now() - begin;
  CHECK(!only.Requests().empty());
  CHECK(static_cast<double>(only.Requests().size()) <=
        time.count() * kPerSecond + 1);
}

// Guards against requests of a node that is none of the target's senders.
TEST(ColdForward, ANodeWithoutAShareSendsNothing)
{
  ScriptedServer only(Repeat(kAnswered, 1));
  mGateway.AddTarget(only);
  mGateway.SetTargetCold(0, mGateway.mClock.Now() + kColdTime, 0);
  mGateway.Start();
  const std::string refusal = Ask();
  STRCMP_CONTAINS("HTTP/1.1 503", refusal.c_str());
  CHECK(RetryAfterOf(refusal) > 5);
  CHECK_EQUAL(0U, only.Requests().size());
  mGateway.SetTargetCold(0, mGateway.mClock.Now(), 0);
  STRCMP_CONTAINS("HTTP/1.1 200", Ask().c_str());
}

// The failure: a warm target spoils its responses, so that each request is
// tried again.
TEST(ColdForward, RetriesTakeTurnsToo)
{
  ScriptedServer warm(Repeat(kSpoiled, 3));
  ScriptedServer cold(Repeat(kAnswered, 3));
  mGateway.AddTarget(warm);
  mGateway.AddTarget(cold);
  mGateway.SetTargetCold(1, mGateway.mClock.Now() + kColdTime, 0.05);
  mGateway.Start();
  for (int n = 0; n < 3; ++n) {
    (void)Ask();
  }
  CHECK(!warm.Requests().empty());
  CHECK_EQUAL(1U, cold.Requests().size());
}
