#include "cli/stopsignal.h"
#include "standin/engine.h"
#include "standin/platform.h"
#include "standin/service.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <memory>
#include <vector>

namespace {

namespace po = boost::program_options;
using namespace hibiscushold;
using namespace hibiscushold::standin;

po::options_description
DescribeOptions()
{
  po::options_description options("options");
  options.add_options()(
    "role", po::value<std::string>(), "platform, engine, service or ports")(
    "id", po::value<std::string>()->default_value("vm"), "id of the VM")(
    "count", po::value<int>()->default_value(1), "VMs, or ports, to provide")(
    "port", po::value<uint16_t>()->default_value(0), "port, 0 for any")(
    "platform", po::value<std::string>(), "HOST:PORT of the platform")(
    "zone", po::value<std::string>()->default_value("zone-a"), "zone")(
    "domain", po::value<std::string>()->default_value(""), "fabric domain")(
    "pool", po::value<std::string>()->default_value("workers"), "pool")(
    "load-ms", po::value<int>()->default_value(100), "time to load a model")(
    "token-ms", po::value<int>()->default_value(5), "time for one token")(
    "slots", po::value<uint32_t>()->default_value(16), "requests at once");
  return options;
}

VmOptions
VmOptionsOf(const po::variables_map& aValues, int aIndex)
{
  VmOptions options;
  options.mId = aValues["id"].as<std::string>();
  if (aValues["count"].as<int>() > 1) {
    options.mId += "-" + std::to_string(aIndex);
  }
  options.mZone = aValues["zone"].as<std::string>();
  options.mDomain = aValues["domain"].as<std::string>();
  options.mPool = aValues["pool"].as<std::string>();
  options.mPort = aValues["port"].as<uint16_t>();
  options.mPlatform =
    ParseEndpoint(aValues["platform"].as<std::string>()).value();
  options.mLoadTime = milliseconds(aValues["load-ms"].as<int>());
  options.mTimePerToken = milliseconds(aValues["token-ms"].as<int>());
  options.mSlots = aValues["slots"].as<uint32_t>();
  return options;
}

/// Prints different ports that are free at the time of the call.
int
PrintPorts(int aCount)
{
  std::vector<Poco::Net::ServerSocket> sockets;
  for (int i = 0; i < aCount; ++i) {
    sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::cout << sockets.back().address().port() << "\n";
  }
  return 0;
}

template<class Standin>
int
RunUntilStopped(std::vector<std::unique_ptr<Standin>> aStandins)
{
  for (const auto& it : aStandins) {
    std::cout << ToString(it->Address()) << std::endl;
  }
  WaitForStopSignal();
  return 0;
}

template<class Standin>
std::vector<std::unique_ptr<Standin>>
MakeVms(const po::variables_map& aValues)
{
  std::vector<std::unique_ptr<Standin>> vms;
  for (int i = 0; i < aValues["count"].as<int>(); ++i) {
    vms.push_back(std::make_unique<Standin>(VmOptionsOf(aValues, i)));
  }
  return vms;
}

int
Run(const po::variables_map& aValues)
{
  const std::string role = aValues["role"].as<std::string>();
  if (role == "ports") {
    return PrintPorts(aValues["count"].as<int>());
  }
  InstallStopSignalHandlers();
  if (role == "platform") {
    std::vector<std::unique_ptr<PlatformStandin>> platform;
    platform.push_back(
      std::make_unique<PlatformStandin>(aValues["port"].as<uint16_t>()));
    return RunUntilStopped(std::move(platform));
  }
  if (role == "engine") {
    return RunUntilStopped(MakeVms<EngineStandin>(aValues));
  }
  if (role == "service") {
    return RunUntilStopped(MakeVms<ServiceStandin>(aValues));
  }
  std::cerr << "unknown role '" << role << "'\n";
  return 2;
}

} // namespace

int
main(int aCount, char** aWords)
{
  try {
    po::positional_options_description positions;
    positions.add("role", 1);
    po::variables_map values;
    po::store(po::command_line_parser(aCount, aWords)
                .options(DescribeOptions())
                .positional(positions)
                .run(),
              values);
    if (!values.contains("role")) {
      std::cerr << "usage: hibiscushold-standin ROLE [OPTIONS]\n"
                << DescribeOptions();
      return 2;
    }
    return Run(values);
  } catch (const std::exception& e) {
    std::cerr << "hibiscushold-standin: " << e.what() << "\n";
    return 1;
  }
}
