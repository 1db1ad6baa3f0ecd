#include "callers.h"

#include <thread>

using namespace hibiscushold;

namespace {

/// Between the ends of two targets, which are then not taken for one event.
constexpr auto kBetweenEnds = milliseconds(150);

/// @return a stream request whose prompt has these parts
std::string
StreamRequest(const std::string& aParts)
{
  return "POST /stream/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nParts: " + aParts +
         "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

TEST_GROUP(Quarantine)
{
  GatewayFixture mGateway;
  std::vector<std::unique_ptr<ScriptedServer>> mServers;

  /// Adds targets that end their connection at the first request.
  void AddEndingTargets(int aCount)
  {
    for (int n = 0; n < aCount; ++n) {
      mServers.push_back(std::make_unique<ScriptedServer>(
        std::vector<ScriptedServer::Response>{ { "", false, true } }));
      mGateway.AddTarget(*mServers.back());
    }
  }

  size_t RequestsAtTargets() const
  {
    size_t n = 0;
    for (const auto& it : mServers) {
      n += it->Requests().size();
    }
    return n;
  }

  /// Sends a request with these parts, then removes the targets that ended.
  std::string Ask(const std::string& aParts)
  {
    std::this_thread::sleep_for(kBetweenEnds);
    const ReceivedResponse got = mGateway.Ask(StreamRequest(aParts), "}");
    const std::lock_guard guard(mGateway.mTargetsLock);
    std::erase_if(mGateway.mTargets.mByService["engines"], [&](const auto& it) {
      const size_t index = std::stoul(it.mVmId.substr(3)) - 1;
      return !mServers[index]->Requests().empty();
    });
    return got.mBytes;
  }
};

// Guards against requests with one part in their prompts that end target after
// target, although several have ended under that part before.
TEST(Quarantine, PartThatEndsTargetsReachesNoFurtherTarget)
{
  AddEndingTargets(10);
  mGateway.mConfig.mRoutes[0].mAttempts = 1;
  mGateway.Start();
  for (int n = 1; n <= 5; ++n) {
    (void)Ask("c1:40,bad:7,d" + std::to_string(n) + ":9");
  }
  const size_t before = RequestsAtTargets();
  const std::string refusal = Ask("c2:40,bad:7,d6:9");
  CHECK_EQUAL(before, RequestsAtTargets());
  STRCMP_CONTAINS("HTTP/1.1 503", refusal.c_str());
  STRCMP_CONTAINS("Retry-After: ", refusal.c_str());
}
