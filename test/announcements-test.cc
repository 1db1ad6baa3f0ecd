#include "gatewayfixture.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

std::string
Reply(const std::string& aStatus, const std::string& aFields)
{
  return "HTTP/1.1 " + aStatus + "\r\nId: r1\r\nProof: p\r\n" + aFields +
         "Content-Length: 2\r\n\r\nok";
}

const std::string kRequest =
  "GET /lookup/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nConnection: close\r\n\r\n";
const std::string kAnswered = Reply("200 OK", "");
const std::string kLeaving = Reply("200 OK", "Leaving: 1\r\n");

std::string
Quiet(const std::string& aSeconds)
{
  return Reply("503 Busy", "Not-Run: 1\r\nRetry-After: " + aSeconds + "\r\n");
}

} // namespace

TEST_GROUP(Announcements)
{
  GatewayFixture mGateway;

  std::string Ask() const
  {
    return mGateway.Ask(kRequest, "none").mBytes;
  }
};

// Guards against requests to a target that has announced its leaving, also on
// its kept connection.
TEST(Announcements, ALeavingTargetGetsNoMoreRequests)
{
  ScriptedServer first({ { kLeaving }, { kAnswered } });
  ScriptedServer second({ { kAnswered }, { kAnswered } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  for (int n = 0; n < 3; ++n) {
    STRCMP_CONTAINS("HTTP/1.1 200", Ask().c_str());
  }
  CHECK_EQUAL(1U, first.Requests().size());
  CHECK_EQUAL(2U, second.Requests().size());
}

// Guards against a target that gets no requests after it has started anew under
// the id that it had, and against requests before that.
TEST(Announcements, ALeavingTargetIsUsedAgainOnceItsVmHasStartedAnew)
{
  ScriptedServer only({ { kLeaving }, { kAnswered } });
  mGateway.AddTarget(only);
  mGateway.SetTargetStart(0, 1000);
  mGateway.Start();
  STRCMP_CONTAINS("HTTP/1.1 200", Ask().c_str());
  STRCMP_CONTAINS("HTTP/1.1 503", Ask().c_str());
  mGateway.SetTargetStart(0, 2000);
  STRCMP_CONTAINS("HTTP/1.1 200", Ask().c_str());
}

// Guards against requests to a target that asked for quiet, and against callers
// who are told to come back before it ends.
TEST(Announcements, ATargetThatAsksForQuietGetsNoRequestsUntilItsEnd)
{
  ScriptedServer only({ { Quiet("1.5") }, { kAnswered } });
  mGateway.AddTarget(only);
  mGateway.Start();
  const std::string refusal = Ask();
  STRCMP_CONTAINS("HTTP/1.1 503", refusal.c_str());
  STRCMP_CONTAINS("Retry-After: 1.4", refusal.c_str());
  STRCMP_CONTAINS("Retry-After: 1.4", Ask().c_str());
  CHECK_EQUAL(1U, only.Requests().size());
  std::this_thread::sleep_for(milliseconds(1600));
  STRCMP_CONTAINS("HTTP/1.1 200", Ask().c_str());
}

// Guards against a refusal while another target accepts requests.
TEST(Announcements, OtherTargetsServeWhileOneAsksForQuiet)
{
  ScriptedServer first({ { Quiet("5") } });
  ScriptedServer second({ { kAnswered }, { kAnswered } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  STRCMP_CONTAINS("HTTP/1.1 200", Ask().c_str());
  STRCMP_CONTAINS("HTTP/1.1 200", Ask().c_str());
  CHECK_EQUAL(1U, first.Requests().size());
}

// Guards against a time that cannot be read and is taken for a long or an
// immediate end of quiet.
TEST(Announcements, AnInvalidQuietTimeIsIgnored)
{
  for (const char* it : { "soon", "-3", "", "1s", "nan" }) {
    ScriptedServer only({ { Quiet(it) }, { kAnswered } });
    GatewayFixture gateway;
    gateway.AddTarget(only);
    gateway.Start();
    STRCMP_CONTAINS("HTTP/1.1 503",
                    gateway.Ask(kRequest, "none").mBytes.c_str());
    CHECK(gateway.mLoads.Get("vm-1").mQuietUntil == TimePoint());
    CHECK(gateway.mLoads.Get("vm-1").mSentBadHeader);
  }
}
