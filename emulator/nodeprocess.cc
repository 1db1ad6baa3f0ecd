#include "emulator/nodeprocess.h"

#include "emulator/judge.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <stdexcept>
#include <system_error>
#include <thread>

namespace hibiscushold::emulator {

namespace {

constexpr auto kExitPollInterval = milliseconds(10);
constexpr auto kRestartDelay = milliseconds(1000);

std::string
DescribeEnd(int aStatus)
{
  return WIFSIGNALED(aStatus)
           ? "signal " + std::to_string(WTERMSIG(aStatus))
           : "exit code " + std::to_string(WEXITSTATUS(aStatus));
}

std::string
WriteSettings(const NodeOptions& aOptions, bool aIsFirstStart)
{
  const std::string name = "node-" + std::to_string(aOptions.mIndex);
  std::string path = aOptions.mFolder + "/" + name + ".ini";
  const std::string host = aOptions.mHost + ":";
  std::ofstream file(path);
  file << "[node]\nid = " << name << "\nzone = " << aOptions.mZone
       << "\ncaller_listen = " << host << aOptions.mCallerPort
       << "\nready_listen = " << host << aOptions.mReadyPort
       << "\npeer_listen = " << host << aOptions.mPeerPort
       << "\nfirst_start = " << (aIsFirstStart ? "true" : "false")
       << "\ncapacity = 0.25\n[store]\naddress = " << aOptions.mStoreAddress
       << "\n[limits]\nkey_freshness_ms = 5000\ngrace_s = 8\n";
  if (aOptions.mFollowsZones) {
    const JudgeBounds bounds;
    file << "cold_factor = " << bounds.mColdFactor
         << "\ncold_extra_requests = " << bounds.mColdExtraRequests
         << "\n[zones]\nout_within_ms = " << bounds.mZoneOutMillis << "\n";
  }
  return path;
}

/// @return the process id
pid_t
Spawn(const NodeOptions& aOptions, const std::string& aSettings)
{
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log =
    aOptions.mFolder + "/node-" + std::to_string(aOptions.mIndex) + ".log";
  posix_spawn_file_actions_addopen(
    &actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // A connection of the emulator that a node inherits stays open when the
  // emulator closes it.
  posix_spawn_file_actions_addclosefrom_np(&actions, 3);
  std::string program = aOptions.mProgram;
  std::string verb = "gateway";
  std::string option = "--settings";
  std::string settings = aSettings;
  const std::array<char*, 5> words{
    program.data(), verb.data(), option.data(), settings.data(), nullptr
  };
  pid_t pid = 0;
  const int failure = posix_spawn(
    &pid, program.c_str(), &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    throw std::system_error(failure, std::generic_category(), program);
  }
  if (aOptions.mMaxAddressSpace > 0) {
    const rlimit limit{ aOptions.mMaxAddressSpace, aOptions.mMaxAddressSpace };
    if (prlimit(pid, RLIMIT_AS, &limit, nullptr) != 0) {
      throw std::system_error(errno, std::generic_category(), "prlimit");
    }
  }
  return pid;
}

} // namespace

std::string
OwnLoopbackAddress()
{
  // Distinct for all processes that run, as their ids have 22 bits at most; the
  // addresses up to 127.63.255.255 are left to others.
  const auto id = static_cast<uint32_t>(getpid());
  std::string address = "127";
  for (const uint32_t it : { 64 + (id >> 16 & 63), id >> 8 & 255, id & 255 }) {
    address += "." + std::to_string(it);
  }
  return address;
}

NodeProcess::NodeProcess(NodeOptions aOptions,
                         const Timeline& aTimeline,
                         Recorder& aRecorder)
  : mOptions(std::move(aOptions))
  , mTimeline(aTimeline)
  , mRecorder(aRecorder)
{
}

NodeProcess::~NodeProcess()
{
  End(SIGKILL, milliseconds(0));
}

void
NodeProcess::Start(bool aIsFirstStart)
{
  mPid = Spawn(mOptions, WriteSettings(mOptions, aIsFirstStart));
}

void
NodeProcess::End(int aSignal, milliseconds aGrace)
{
  if (mPid == 0) {
    return;
  }
  kill(mPid, aSignal);
  const int64_t killAt = mTimeline.Now() + aGrace.count();
  while (waitpid(mPid, nullptr, WNOHANG) == 0) {
    if (mTimeline.Now() >= killAt) {
      kill(mPid, SIGKILL);
    }
    std::this_thread::sleep_for(kExitPollInterval);
  }
  mPid = 0;
}

void
NodeProcess::Record(DisturbanceLine::Kind aKind, int64_t aFrom)
{
  mRecorder.Record(
    DisturbanceLine{ aKind, mOptions.mIndex, aFrom, mTimeline.Now() });
}

void
NodeProcess::Restart(milliseconds aDownTime)
{
  const int64_t from = mTimeline.Now();
  End(SIGKILL, milliseconds(0));
  std::this_thread::sleep_for(aDownTime);
  Start(false);
  Record(DisturbanceLine::Kind::Start, from);
}

void
NodeProcess::StopAndStart(milliseconds aGrace)
{
  const int64_t from = mTimeline.Now();
  End(SIGTERM, aGrace);
  Start(false);
  Record(DisturbanceLine::Kind::Stop, from);
}

void
NodeProcess::RestartIfEnded()
{
  int status = 0;
  if (mPid == 0 || waitpid(mPid, &status, WNOHANG) != mPid) {
    return;
  }
  mPid = 0;
  mRecorder.Record(
    EndLine{ mOptions.mIndex, DescribeEnd(status), mTimeline.Now() });
  std::this_thread::sleep_for(kRestartDelay);
  Start(false);
}

void
NodeProcess::Freeze(milliseconds aTime)
{
  const int64_t from = mTimeline.Now();
  kill(mPid, SIGSTOP);
  std::this_thread::sleep_for(aTime);
  kill(mPid, SIGCONT);
  Record(DisturbanceLine::Kind::Freeze, from);
}

} // namespace hibiscushold::emulator
