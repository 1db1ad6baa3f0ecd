#include "cli/command.h"
#include "core/memory.h"

#include <string>
#include <vector>

int
main(int aCount, char** aArguments)
{
  hibiscushold::LimitMemoryUse();
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  return static_cast<int>(hibiscushold::RunCommandLine(arguments));
}
