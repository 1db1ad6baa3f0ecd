#include "core/bytebudget.h"
#include "gateway/exchange.h"
#include "observe/processuse.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <latch>
#include <mutex>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

/// Memory of the users' machines.
constexpr size_t kMachineBytes = 260'000'000;
/// What all bodies of a node may take at once.
constexpr size_t kBudgetBytes = 32'000'000;
constexpr int kThreads = 24;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kMeasuresMemory = false; // sanitizers keep freed blocks
#else
constexpr bool kMeasuresMemory = true;
#endif

const ProtocolNames kProtocol{ "Id",      "Wait", "Last",    "Proof",
                               "Account", "Vm",   "Not-Run", "Model",
                               "Tokens",  "Rank", 421 };

constexpr const char* kHead =
  "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nConnection: close\r\n\r\n";

/// Answers one request after the other with some bytes that are followed by
/// others without end.
class EndlessServer
{
public:
  /// @param aRepeated sent until the client closes the connection
  EndlessServer(std::string aFirst, const std::string& aRepeated)
    : mFirst(std::move(aFirst))
    , mRepeated(Repeat(aRepeated))
    , mSocket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mThread([this](const std::stop_token& aStop) { Run(aStop); })
  {
  }

  Endpoint Address() const { return { "127.0.0.1", mSocket.address().port() }; }

private:
  void Run(const std::stop_token& aStop)
  {
    while (!aStop.stop_requested()) {
      if (mSocket.poll(Poco::Timespan(0, 5000),
                       Poco::Net::Socket::SELECT_READ)) {
        Poco::Net::StreamSocket connection = mSocket.acceptConnection();
        Answer(connection, aStop);
      }
    }
  }

  static std::string Repeat(const std::string& aBytes)
  {
    std::string repeated;
    while (repeated.size() < 65536) {
      repeated += aBytes;
    }
    return repeated;
  }

  void Answer(Poco::Net::StreamSocket& aConnection,
              const std::stop_token& aStop) const
  {
    try {
      aConnection.sendBytes(mFirst.data(), static_cast<int>(mFirst.size()));
      while (!aStop.stop_requested()) {
        aConnection.sendBytes(mRepeated.data(),
                              static_cast<int>(mRepeated.size()));
      }
    } catch (const Poco::Exception&) {
      return; // the client has closed the connection
    }
  }

  const std::string mFirst;
  const std::string mRepeated;
  Poco::Net::ServerSocket mSocket;
  std::jthread mThread;
};

class SilentSink final : public StreamSink
{
public:
  bool OnHead(int, const std::vector<HttpField>&) override { return true; }
  bool OnEvents(std::string_view, uint64_t) override { return true; }
  bool IsCallerDisconnected() override { return false; }
  bool OnStall(WaitingTransfer&) override { return false; }
  bool IsSuperseded() override { return false; }
  bool IsQuarantined() override { return false; }
  bool IsNodeExiting() override { return false; }
};

} // namespace

TEST_GROUP(Memory)
{
  SystemClock mClock;
  SessionPool mPool{ mClock };
  TargetLoads mLoads;
  ByteBudget mBuffers{ kBudgetBytes };
  TargetReach mReach{ mClock.Now() };
  EndlessServer mServer{ kHead, "x" };
  std::mutex mLock; ///< guards the members below
  std::condition_variable mChanged;
  int mEnded = 0;
  bool mMayExit = false;

  ExchangeOutcome Run(const EndlessServer& aServer, Duration aLimit)
  {
    const FleetTarget target{ "vm-1", aServer.Address(), "a", "m", {}, 1 };
    const TimePoint deadline = mClock.Now() + aLimit;
    const ExchangeRequest request{ target,   "GET",    "/x",
                                   {},       "",       "r1",
                                   deadline, deadline, milliseconds(200),
                                   {},       0,        true,
                                   false };
    SilentSink sink;
    return RunExchange({ mPool, mLoads, mBuffers, mReach, kProtocol, mClock },
                       request,
                       sink)
      .mOutcome;
  }

  /// Runs one exchange after the other, each on a thread that stays.
  void RunInTurn(int aTurn)
  {
    std::unique_lock guard(mLock);
    mChanged.wait(guard, [&] { return mMayExit || mEnded == aTurn; });
    if (!mMayExit && Run(mServer, seconds(10)) == ExchangeOutcome::Invalid) {
      ++mEnded;
    }
    mChanged.notify_all();
    mChanged.wait(guard, [this] { return mMayExit; });
  }
};

// Guards against endless answers whose memory the process keeps, which ends it
// for its size: each thread kept the blocks of the largest body it had read.
TEST(Memory, EndlessAnswersLeaveNothingBehind)
{
  const size_t before = MeasureProcess().mResidentBytes;
  size_t after = 0;
  {
    std::vector<std::jthread> threads;
    for (int n = 0; n < kThreads; ++n) {
      threads.emplace_back([this, n] { RunInTurn(n); });
    }
    std::unique_lock guard(mLock);
    mChanged.wait_for(
      guard, seconds(60), [this] { return mEnded == kThreads; });
    after = MeasureProcess().mResidentBytes;
    mMayExit = true;
    mChanged.notify_all();
  }
  CHECK_EQUAL(kThreads, mEnded);
  CHECK_EQUAL(0U, mBuffers.Taken());
  CHECK(!kMeasuresMemory || after < before + kBudgetBytes);
}

// Guards against endless heads, chunk lines and trailers that a node keeps.
TEST(Memory, EndlessHeadsEndWithoutBeingKept)
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string chunked =
    status + "Id: r1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> cases[] = {
    { "", "x" },
    { "", " " },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { status, "Name: value\r\n" },
    { status, "x" },
    { status + "Name: ", "x" },
    { status, "\r" },
    { chunked, "0" },
    { chunked + "0\r\n", "Name: value\r\n" },
  };
  const size_t before = MeasureProcess().mResidentBytes;
  for (const auto& [first, repeated] : cases) {
    const EndlessServer server(first, repeated);
    const ExchangeOutcome outcome = Run(server, milliseconds(500));
    const bool hasEnded = outcome == ExchangeOutcome::Invalid ||
                          outcome == ExchangeOutcome::Deadline;
    CHECK_TEXT(hasEnded, (first + repeated).c_str());
  }
  CHECK(!kMeasuresMemory ||
        MeasureProcess().mResidentBytes < before + kBudgetBytes);
}

// Guards against a buffer that grows first and is counted afterwards.
TEST(Memory, ABufferIsCountedBeforeItGrows)
{
  ByteBudget budget(1'000'000);
  BudgetedBytes held(budget);
  std::string buffer;
  const std::string bytes(16384, 'x');
  size_t appended = 0;
  while (AppendWithin(held, buffer, bytes)) {
    appended += bytes.size();
    CHECK(buffer.capacity() <= budget.Taken() + 131072);
  }
  CHECK_EQUAL(appended, buffer.size());
  CHECK(buffer.capacity() < 1'000'000);
  CHECK(appended > 500'000);
}

// Guards against threads whose stacks and arenas use up an address space that
// is bounded, so that a node is refused memory that it has.
TEST(Memory, ThreadsReserveLittleAddressSpace)
{
  const size_t before = MeasureProcess().mAddressSpaceBytes;
  std::latch started(kThreads + 1);
  std::latch mayEnd(1);
  std::vector<std::jthread> threads;
  for (int n = 0; n < kThreads; ++n) {
    threads.emplace_back([&] {
      const std::vector<char> block(1000);
      started.count_down();
      mayEnd.wait();
    });
  }
  started.arrive_and_wait();
  const size_t after = MeasureProcess().mAddressSpaceBytes;
  mayEnd.count_down();
  CHECK(!kMeasuresMemory || after < before + kMachineBytes);
}
