#include "core/memory.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int
main(int aCount, char** aArguments)
{
  // CppUTest reports lazily initialised statics as leaks. Real leaks are found
  // by the run with the address sanitizer.
  hibiscushold::LimitMemoryUse();
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}
