#include "cluster/rpccode.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

TEST_GROUP(RpcCode){};

TEST(RpcCode, NamesEachError)
{
  for (int n = 1; n <= static_cast<int>(kLastError); ++n) {
    const auto error = static_cast<Error>(n);
    CHECK(error == ErrorFromRpcCode(ToRpcCode(error)));
  }
}

// Guards against a code of another node that overflows an int.
TEST(RpcCode, OtherCodesNameNone)
{
  const int codes[] = { std::numeric_limits<int>::min(),
                        kFirstRpcCode - static_cast<int>(kLastError) - 1,
                        kFirstRpcCode,
                        -1,
                        0,
                        std::numeric_limits<int>::max() };
  for (const int it : codes) {
    CHECK(!ErrorFromRpcCode(it));
  }
}
