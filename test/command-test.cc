#include "cli/command.h"

#include "core/json.h"
#include "standin/server.h"

#include <Poco/TemporaryFile.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

/// A command line that must fail.
struct ErrorCase
{
  std::vector<std::string> mArguments;
  ExitCode mCode;
  const char* mExpectedText; ///< part of the line on standard error
};

/// Redirects std::cout and std::cerr to strings during its lifetime.
class OutputCapture
{
public:
  OutputCapture()
    : mOut(std::cout.rdbuf(mOutText.rdbuf()))
    , mErr(std::cerr.rdbuf(mErrText.rdbuf()))
  {
  }
  ~OutputCapture()
  {
    std::cout.rdbuf(mOut);
    std::cerr.rdbuf(mErr);
  }
  OutputCapture(const OutputCapture&) = delete;
  OutputCapture& operator=(const OutputCapture&) = delete;

  std::string Out() const { return mOutText.str(); }
  std::string Err() const { return mErrText.str(); }

private:
  std::ostringstream mOutText;
  std::ostringstream mErrText;
  std::streambuf* mOut;
  std::streambuf* mErr;
};

/// @return a handler that answers every request with the same status and body
standin::Server::Handler
RespondWith(int aStatus, std::string aBody)
{
  return [aStatus, body = std::move(aBody)](auto& aRequest, auto& aResponse) {
    standin::ReadBody(aRequest);
    standin::SendReply(aResponse, aStatus, body);
  };
}

/// @return the JSON-RPC body of an error response
std::string
RpcError(Error aError, const std::string& aMessage)
{
  const int code = -31000 - static_cast<int>(aError);
  return R"({"jsonrpc":"2.0","id":1,"error":{"code":)" + std::to_string(code) +
         R"(,"message":")" + aMessage + R"(","data":{"remedy":"do this"}}})";
}

} // namespace

TEST_GROUP(Commands)
{
  Poco::TemporaryFile mFolder;

  void setup() override
  {
    mFolder.createDirectories();
  }

  std::string Write(const std::string& aName, const std::string& aText)
  {
    std::string path = mFolder.path() + "/" + aName;
    std::ofstream(path) << aText;
    return path;
  }

  /// Writes a settings file for the node.
  /// @return its path
  std::string SettingsFor(const Endpoint& aNode)
  {
    return Write("node.ini",
                 "[node]\nid = n\nzone = z\ncaller_listen = 127.0.0.1:1\n"
                 "peer_listen = " +
                   ToString(aNode) +
                   "\npeer_token = 0123456789abcdef\n"
                   "operator_token = 0123456789abcdef\n"
                   "[platform]\nurl = http://127.0.0.1:1\n");
  }

  /// Runs the command and checks its exit code and its standard error.
  void Check(const ErrorCase& aCase)
  {
    ExitCode code = ExitCode::Ok;
    std::string err;
    {
      const OutputCapture capture;
      code = RunCommandLine(aCase.mArguments);
      err = capture.Err();
    }
    CHECK_EQUAL_TEXT(
      static_cast<int>(aCase.mCode), static_cast<int>(code), err.c_str());
    STRCMP_CONTAINS(aCase.mExpectedText, err.c_str());
  }
};

TEST(Commands, RejectAnInvalidCommandLine)
{
  const ErrorCase cases[] = {
    { {}, ExitCode::Usage, "usage: hibiscushold" },
    { { "aply" }, ExitCode::Usage, "did you mean 'apply'?" },
    { { "check" }, ExitCode::Usage, "'check' takes FILE" },
    { { "check", "a", "b" }, ExitCode::Usage, "'check' takes FILE" },
    { { "groups", "x" }, ExitCode::Usage, "'groups' takes no argument" },
    { { "groups", "--jso2" }, ExitCode::Usage, "--help" },
    { { "explain" }, ExitCode::Usage, "--account" },
    { { "apply", "f", "--base", "x" }, ExitCode::Usage, "--base" },
  };
  for (const ErrorCase& it : cases) {
    Check(it);
  }
}

TEST(Commands, RejectInvalidFilesAndReportTheirFaults)
{
  const std::string broken = Write("rules.ini", "[groups]\na = model:m  \n");
  const std::string settings = Write("bad.ini", "[node]\nidd = n\n");
  const ErrorCase cases[] = {
    { { "check", "none.ini" }, ExitCode::BadFile, "none.ini" },
    { { "check", broken }, ExitCode::BadFile, "rules.ini:2:" },
    { { "apply", broken }, ExitCode::BadFile, "rules.ini:2:" },
    { { "serve", "--settings", "none.ini" }, ExitCode::BadFile, "none.ini" },
    { { "serve", "--settings", settings }, ExitCode::BadFile, "bad.ini:2:" },
    { { "groups", "--settings", settings }, ExitCode::BadFile, "[node] id" },
  };
  for (const ErrorCase& it : cases) {
    Check(it);
  }
}

TEST(Commands, ReportTheErrorThatANodeReturns)
{
  const std::string rules = Write("good.ini", "[groups]\na = model:m # x\n");
  const struct
  {
    int mStatus;
    std::string mBody;
    ExitCode mCode;
    const char* mExpectedText;
  } cases[] = {
    { 401, "no", ExitCode::Unauthorized, "check the token" },
    { 200, "garbage", ExitCode::Unreachable, "cannot be reached" },
    { 200, RpcError(Error::ConfigConflict, "v 7"), ExitCode::Conflict, "v 7" },
    { 200, RpcError(Error::ConfigBlocked, "n3"), ExitCode::Blocked, "n3" },
    { 200,
      RpcError(Error::ConfigOutcomeUnknown, "?"),
      ExitCode::OutcomeUnknown,
      "do this" },
    { 200, RpcError(Error::StoreUnavailable, "x"), ExitCode::Failed, "store" },
  };
  for (const auto& it : cases) {
    const standin::Server node(0, RespondWith(it.mStatus, it.mBody));
    const std::string settings = SettingsFor(node.Address());
    Check({ { "apply", rules, "--settings", settings },
            it.mCode,
            it.mExpectedText });
  }
}

TEST(Commands, ReportAnUnreachableNode)
{
  Endpoint address;
  {
    const standin::Server node(0, RespondWith(200, "{}"));
    address = node.Address();
  }
  const std::string settings = SettingsFor(address);
  for (const char* command : { "groups", "members", "targets", "history" }) {
    Check({ { command, "--settings", settings },
            ExitCode::Unreachable,
            ToString(address).c_str() });
  }
}

TEST(Commands, PrintATable)
{
  const standin::Server node(
    0,
    RespondWith(
      200,
      R"({"jsonrpc":"2.0","id":1,"result":{"members":[{"member":"n1",)"
      R"("zone":"z","peer":"p","caller":"c","heard":true}]}})"));
  const std::string settings = SettingsFor(node.Address());
  const OutputCapture capture;
  LONGS_EQUAL(0,
              static_cast<int>(RunCommandLine(std::vector<std::string>{
                "members", "--settings", settings })));
  STRCMP_CONTAINS("n1      z     p     c       yes\n", capture.Out().c_str());
}
