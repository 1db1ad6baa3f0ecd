#include "cluster/rpcclient.h"
#include "nomemory/refusal.h"

#include <exception>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;
using namespace hibiscushold::nomemory;

namespace {

const std::string kLongText(200, 'x');

} // namespace

TEST_GROUP(NoMemoryCall){};

// Guards against a call to another node that ends the process when it is
// refused memory.
TEST(NoMemoryCall, ACallToAnotherNodeThrows)
{
  Json::Value params;
  params["text"] = kLongText;
  const auto call = [&](size_t aGranted) {
    std::string answer =
      R"({"jsonrpc":"2.0","id":1,"result":{"a":")" + kLongText + R"("}})";
    const RpcTransport transport = [&](const std::string&,
                                       std::string& aAnswer) {
      aAnswer = std::move(answer);
      return true;
    };
    const std::string method = "read";
    const MemoryRefusal refusal(aGranted, 1);
    try {
      CallRpc(transport, method, params);
    } catch (const std::exception&) {
      return true;
    }
    return MemoryRefusal::HasRefused();
  };
  CHECK(ForEachAllocation(call) > 10);
}
