#include "cli/command.h"
#include "cli/stopsignal.h"
#include "core/settings.h"
#include "observe/events.h"
#include "rules/parse.h"
#include "serve/node.h"

#include <iostream>

namespace hibiscushold {

ExitCode
RunServe(const OptionValues& aValues, std::span<const std::string>)
{
  Result<Settings> settings =
    LoadSettings(aValues["settings"].as<std::string>());
  if (!settings) {
    return ReportFailure(settings.error());
  }
  Result<std::shared_ptr<Credentials>> credentials =
    Credentials::Load(settings.value());
  if (!credentials) {
    return ReportFailure(credentials.error());
  }
  InstallStopSignalHandlers();
  StartLog(settings.value().mLogLevel, settings.value().mLogJson);
  Node node(std::move(settings.value()), std::move(credentials.value()));
  Result<void> started = node.Start();
  if (!started) {
    return ReportFailure(started.error());
  }
  WaitForStopSignal();
  node.Stop();
  return ExitCode::Ok;
}

Result<RulesFile>
LoadRulesFile(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(text, ReadTextFile(aPath, kMaxRulesBytes));
  ParsedRules parsed = ParseRules(text);
  if (!parsed.mFaults.empty()) {
    return Failure{ Error::ConfigInvalid,
                    "\n" + DescribeFaults(aPath, parsed.mFaults),
                    "correct every line named" };
  }
  return RulesFile{ std::move(text), std::move(parsed.mRules) };
}

ExitCode
RunCheck(const OptionValues&, std::span<const std::string> aArguments)
{
  const std::string& path = aArguments.front();
  Result<RulesFile> file = LoadRulesFile(path);
  if (!file) {
    return ReportFailure(file.error());
  }
  const Rules& rules = file.value().mRules;
  std::cout << path << ": " << rules.mRoutes.size() << " routes, "
            << rules.mGroups.size() << " groups, " << rules.mServices.size()
            << " services: no faults\n";
  return ExitCode::Ok;
}

ExitCode
RunVersion(const OptionValues&, std::span<const std::string>)
{
  std::cout << "hibiscushold 0.1.0\n";
  return ExitCode::Ok;
}

} // namespace hibiscushold
