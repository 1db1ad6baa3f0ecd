#include "fleet/demandaggregator.h"
#include "nomemory/refusal.h"
#include "relay/crashreport.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;
using namespace hibiscushold::nomemory;

namespace {

/// More than the largest datagram.
constexpr size_t kMaxBytes = 65536;
/// States a text of 4294967295 bytes.
const std::string kLongest = "\xff\xff\xff\xff\x0f";

} // namespace

TEST_GROUP(OddDatagram){};

// Guards against a datagram whose stated length sizes memory, which any sender
// could make a node run out of.
TEST(OddDatagram, AStatedLengthBeyondItsEndTakesNoMemory)
{
  const std::string inToken = kLongest + "some";
  const std::string inName =
    std::string("\x01t\x00\x01", 4) + kLongest + "some";
  const TimePoint now{};
  const AllocationMeter meter;
  CHECK(!DecodeReport(inToken, now));
  CHECK(!DecodeReport(inName, now));
  CHECK(!DecodeCrashReport(inToken, now));
  CHECK(AllocationMeter::Largest() < kMaxBytes);
}
